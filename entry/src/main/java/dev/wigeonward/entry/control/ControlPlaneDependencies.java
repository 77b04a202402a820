package dev.wigeonward.entry.control;

import java.time.Clock;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The adapters and settings that the control plane depends on.
 *
 * @param rolloutRecords store of the rollout records
 * @param leaseFencingNumber returns the fencing number of the controller lease, or empty unless the lease is certainly
 *     held
 * @param setControllerCandidate sets whether this entry tries to acquire the controller lease
 * @param revisionWatch watch on the newest revision in the store
 * @param spend counter of the spend of workspaces
 * @param drainLimitMillis maximum time to wait for running requests at a graceful shutdown
 */
public record ControlPlaneDependencies(
        String entryId,
        Clock clock,
        RolloutRecordStore rolloutRecords,
        Supplier<OptionalLong> leaseFencingNumber,
        Consumer<Boolean> setControllerCandidate,
        RevisionWatch revisionWatch,
        SpendTracker spend,
        long drainLimitMillis) {
    public ControlPlaneDependencies {
        Objects.requireNonNull(entryId, "entryId");
        Objects.requireNonNull(clock, "clock");
        Objects.requireNonNull(rolloutRecords, "rolloutRecords");
        Objects.requireNonNull(leaseFencingNumber, "leaseFencingNumber");
        Objects.requireNonNull(setControllerCandidate, "setControllerCandidate");
        Objects.requireNonNull(revisionWatch, "revisionWatch");
        Objects.requireNonNull(spend, "spend");
    }
}
