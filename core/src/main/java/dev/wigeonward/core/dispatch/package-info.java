/** Dispatch of requests: the decision cores of the entry and of the agent, at most one dispatch for each request. */
package dev.wigeonward.core.dispatch;
