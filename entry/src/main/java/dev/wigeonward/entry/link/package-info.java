/** The entry's side of the links to agents. */
package dev.wigeonward.entry.link;
