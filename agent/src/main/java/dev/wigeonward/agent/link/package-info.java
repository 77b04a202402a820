/** The agent's side of the links to entries. */
package dev.wigeonward.agent.link;
