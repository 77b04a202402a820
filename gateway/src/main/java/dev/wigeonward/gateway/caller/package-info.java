/** HTTP servers for callers, with strict framing, limits and keep-alive, and for the status pages. */
package dev.wigeonward.gateway.caller;
