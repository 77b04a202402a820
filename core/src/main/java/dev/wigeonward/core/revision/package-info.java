/** Revisions of the rules: adoption, differences, relay between processes, and the port to the store. */
package dev.wigeonward.core.revision;
