/** What an agent does besides requests: revisions, facts, orders to its engine and evidence on versions. */
package dev.wigeonward.agent.control;
