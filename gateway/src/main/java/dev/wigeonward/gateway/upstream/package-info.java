/**
 * HTTP client for upstreams: pooled connections that carry one request at a time and are closed when their state is
 * uncertain.
 */
package dev.wigeonward.gateway.upstream;
