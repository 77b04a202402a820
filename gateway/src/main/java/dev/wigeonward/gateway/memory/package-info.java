/** Bounds on the memory that all connections together hold for bytes of callers and upstreams. */
package dev.wigeonward.gateway.memory;
