/** Ports to the upstream beside an agent, and their HTTP implementations. */
package dev.wigeonward.agent.upstream;
