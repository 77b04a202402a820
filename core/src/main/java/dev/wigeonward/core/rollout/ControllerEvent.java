package dev.wigeonward.core.rollout;

import java.util.List;
import java.util.Optional;

import dev.wigeonward.core.order.OrderResult;

/** An event handled by the rollout controller. */
public sealed interface ControllerEvent {
    /**
     * This entry acquired the controller lease.
     *
     * @param validUntilMillis time until which no other entry can acquire the lease
     * @param records all rollout records, read after the lease was acquired
     */
    record LeaseAcquired(long fencingNumber, long validUntilMillis, List<StoredRecord> records)
            implements ControllerEvent {
        public LeaseAcquired {
            records = List.copyOf(records);
        }
    }

    /** The store renewed the lease. */
    record LeaseRenewed(long validUntilMillis) implements ControllerEvent {}

    /** The store reported that this entry does not hold the lease. */
    record LeaseLost() implements ControllerEvent {}

    /** A revision of the rules took effect. */
    record RulesChanged(List<RolloutRule> rules) implements ControllerEvent {
        public RulesChanged {
            rules = List.copyOf(rules);
        }
    }

    /** An agent reported the versions that its engine holds. */
    record UpstreamReported(UpstreamVersions upstream) implements ControllerEvent {}

    /** An agent left, or the link to it was lost. */
    record UpstreamRemoved(String upstreamId) implements ControllerEvent {}

    /** An agent reported the counters that it has kept since its start. */
    record EvidenceReported(
            String upstreamId, long incarnation, ModelVersion version, RouteLoadKey cell, EvidenceCounters counters)
            implements ControllerEvent {}

    /** A peer sent a bad verdict. */
    record VerdictReceived(BadVerdict verdict) implements ControllerEvent {}

    /**
     * The store answered a write of a rollout record.
     *
     * @param revision new revision of the key if the write was applied
     */
    record WriteAnswered(String model, String writeId, WriteOutcome answer, long revision) implements ControllerEvent {}

    /** The store answered a read of a rollout record. */
    record RecordRead(String model, Optional<StoredRecord> stored) implements ControllerEvent {}

    /** An agent answered an order. */
    record OrderAnswered(String orderId, OrderResult result) implements ControllerEvent {}

    /** The periodic timer fired. */
    record Tick() implements ControllerEvent {}

    /** Outcome of a write. */
    enum WriteOutcome {
        APPLIED,
        COMPARE_FAILED,
        /** The reply was lost; the write may have taken effect. */
        UNKNOWN,
        /** The write was not sent. */
        UNAVAILABLE
    }
}
