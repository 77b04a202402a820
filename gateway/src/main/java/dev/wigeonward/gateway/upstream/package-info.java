/** HTTP towards upstreams: kept connections, one request at a time on each, dropped at the first doubt. */
package dev.wigeonward.gateway.upstream;
