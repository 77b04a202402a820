/** Coordination of the entries' queues in one process: messages to peers, log lines and metrics. */
package dev.wigeonward.gateway.coordination;
