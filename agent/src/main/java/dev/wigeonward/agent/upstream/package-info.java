/** The client interface to the upstream of an agent and its HTTP implementation. */
package dev.wigeonward.agent.upstream;
