/** Metrics, and an asynchronous log for the event loop. */
package dev.wigeonward.gateway.event;
