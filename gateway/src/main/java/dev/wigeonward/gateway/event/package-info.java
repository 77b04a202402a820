/** Log lines of the event loop, written by a thread of their own. */
package dev.wigeonward.gateway.event;
