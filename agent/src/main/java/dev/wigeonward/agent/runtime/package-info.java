/** The decision thread of an agent: events in, effects out. */
package dev.wigeonward.agent.runtime;
