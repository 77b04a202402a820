/**
 * Dispatch of requests: the state machines of the entry and of the agent. A request is dispatched again only after its
 * earlier dispatch provably did not run.
 */
package dev.wigeonward.core.dispatch;
