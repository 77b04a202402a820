package dev.wigeonward.entry.command;

import dev.wigeonward.core.revision.StoredRevision;
import dev.wigeonward.core.rules.RuleDiff;

/** A revision and its difference from the previous revision. */
record RevisionChange(StoredRevision stored, RuleDiff diff) {}
