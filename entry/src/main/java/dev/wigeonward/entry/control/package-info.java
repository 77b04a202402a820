/** The control plane of an entry: membership, revisions, facts, rollouts and spend. */
package dev.wigeonward.entry.control;
