/** The control plane of an entry: membership, revisions, facts, version moves and spend. */
package dev.wigeonward.entry.control;
