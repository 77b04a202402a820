package dev.wigeonward.core.dispatch;

import java.util.Objects;
import java.util.function.Supplier;

import dev.wigeonward.core.admission.AdmissionQueue;
import dev.wigeonward.core.placement.PlacementPolicy;

/**
 * The replaceable decisions of an entry.
 *
 * @param queues makes the queue of a target
 * @param placement chooses an upstream
 * @param keyedPlacement chooses an upstream for idempotent requests with a key, the same one for the same key
 * @param versions chooses a version
 * @param retries limits retries
 * @param suspects holds back requests that bring upstreams down
 */
public record DispatchPolicies(
        Supplier<? extends AdmissionQueue> queues,
        PlacementPolicy placement,
        PlacementPolicy keyedPlacement,
        VersionRouter versions,
        RetryPermits retries,
        SuspectGate suspects) {
    public DispatchPolicies {
        Objects.requireNonNull(queues, "queues");
        Objects.requireNonNull(placement, "placement");
        Objects.requireNonNull(keyedPlacement, "keyedPlacement");
        Objects.requireNonNull(versions, "versions");
        Objects.requireNonNull(retries, "retries");
        Objects.requireNonNull(suspects, "suspects");
    }
}
