/** The callers' side: HTTP requests in, answers out. */
package dev.wigeonward.entry.caller;
