/** One request from its arrival to its final answer, over as many upstreams as its route allows. */
package dev.wigeonward.gateway.exchange;
