package dev.wigeonward.core.dispatch;

import java.util.Objects;
import java.util.function.Supplier;

import dev.wigeonward.core.admission.AdmissionQueue;
import dev.wigeonward.core.placement.PlacementPolicy;

/**
 * The replaceable policies of {@link EntryDispatcher}.
 *
 * @param queues creates the admission queue of a target
 * @param placement chooses the upstream of a request
 * @param keyedPlacement chooses the upstream of an idempotent request with a key, the same one for the same key
 * @param versions chooses the version that serves a request
 * @param retries limits the rate of retries
 * @param suspects limits requests that were running on upstreams that died
 */
public record DispatchPolicies(
        Supplier<? extends AdmissionQueue> queues,
        PlacementPolicy placement,
        PlacementPolicy keyedPlacement,
        VersionRouter versions,
        RetryLimiter retries,
        SuspectPolicy suspects) {
    public DispatchPolicies {
        Objects.requireNonNull(queues, "queues");
        Objects.requireNonNull(placement, "placement");
        Objects.requireNonNull(keyedPlacement, "keyedPlacement");
        Objects.requireNonNull(versions, "versions");
        Objects.requireNonNull(retries, "retries");
        Objects.requireNonNull(suspects, "suspects");
    }
}
