package dev.wigeonward.core.revision;

import java.util.Objects;

import com.google.common.base.Preconditions;

/**
 * A revision as the store keeps it.
 *
 * @param applyId random id of the command that wrote it; tells a writer whose reply was lost that it succeeded
 * @param appliedAtEpochMillis wall-clock time of the command
 */
public record StoredRevision(Revision revision, String applyId, long appliedAtEpochMillis) {
    public StoredRevision {
        Objects.requireNonNull(revision, "revision");
        Preconditions.checkArgument(!applyId.isEmpty(), "applyId is empty");
    }
}
