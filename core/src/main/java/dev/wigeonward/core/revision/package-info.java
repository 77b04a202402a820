/** Revisions of the rules: adoption, line-based deltas, propagation between processes, and the store interface. */
package dev.wigeonward.core.revision;
