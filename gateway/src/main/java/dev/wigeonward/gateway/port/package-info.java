/** What the direct path needs from the adapter of a platform: the meaning of its headers, its upstreams and rules. */
package dev.wigeonward.gateway.port;
