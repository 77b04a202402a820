/** What an entry does besides requests: membership, revisions, facts, version moves and spend. */
package dev.wigeonward.entry.control;
