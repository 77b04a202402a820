/** HTTP towards callers: strict framing, limits, keep-alive, and the readiness page. */
package dev.wigeonward.gateway.caller;
