package dev.wigeonward.core.rollout;

import java.util.Objects;

/** A rollout record with the store revision of its key, for compare-and-swap. */
public record StoredRecord(RolloutRecord record, long revision) {
    public StoredRecord {
        Objects.requireNonNull(record, "record");
    }
}
