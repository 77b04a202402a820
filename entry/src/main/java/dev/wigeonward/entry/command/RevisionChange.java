package dev.wigeonward.entry.command;

import dev.wigeonward.core.revision.StoredRevision;
import dev.wigeonward.core.rules.RuleDiff;

/** A revision and the rules by which it differs from the one before it. */
record RevisionChange(StoredRevision stored, RuleDiff diff) {}
