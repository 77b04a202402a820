/** The decision thread of an agent, which handles events and carries out their effects. */
package dev.wigeonward.agent.runtime;
