/** The control plane of an agent: revisions, facts, orders to its engine and evidence on versions. */
package dev.wigeonward.agent.control;
