package dev.wigeonward.core.revision;

import java.util.Objects;

import com.google.common.base.Preconditions;

/**
 * A revision with the metadata stored next to it.
 *
 * @param applyId random id of the command that wrote the revision; a writer whose reply was lost recognizes by it that
 *     its write succeeded
 * @param appliedAtEpochMillis wall-clock time at which the command ran
 */
public record StoredRevision(Revision revision, String applyId, long appliedAtEpochMillis) {
    public StoredRevision {
        Objects.requireNonNull(revision, "revision");
        Preconditions.checkArgument(!applyId.isEmpty(), "applyId must not be empty");
    }
}
