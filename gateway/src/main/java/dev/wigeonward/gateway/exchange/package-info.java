/**
 * Processing of a request from admission to the final answer, with retries at further upstreams as far as its route
 * allows.
 */
package dev.wigeonward.gateway.exchange;
