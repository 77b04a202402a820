package dev.wigeonward.core.rollout;

import java.util.List;
import java.util.Optional;

import dev.wigeonward.core.order.OrderResult;

/** What the move controller reacts to. */
public sealed interface ControllerEvent {
    /**
     * This entry holds the controller lease.
     *
     * @param validUntilMillis time up to which no other entry can acquire it
     * @param records all move records, read after the lease was acquired
     */
    record LeaseAcquired(long fencingNumber, long validUntilMillis, List<StoredRecord> records)
            implements ControllerEvent {
        public LeaseAcquired {
            records = List.copyOf(records);
        }
    }

    /** The store renewed the lease. */
    record LeaseRenewed(long validUntilMillis) implements ControllerEvent {}

    /** The store says that this entry does not hold the lease. */
    record LeaseLost() implements ControllerEvent {}

    /** A revision of the rules came into force. */
    record RulesChanged(List<MoveRule> rules) implements ControllerEvent {
        public RulesChanged {
            rules = List.copyOf(rules);
        }
    }

    /** An agent announced what its engine holds. */
    record UpstreamSeen(UpstreamVersions upstream) implements ControllerEvent {}

    /** An agent left or its link was lost. */
    record UpstreamGone(String upstreamId) implements ControllerEvent {}

    /** An agent reported its counters since its start. */
    record EvidenceReported(
            String upstreamId, long incarnation, ModelVersion version, RouteCell cell, EvidenceCounters counters)
            implements ControllerEvent {}

    /** A peer reported a version shown to be bad. */
    record VerdictLearned(BadVerdict verdict) implements ControllerEvent {}

    /**
     * The store answered a write of a move record.
     *
     * @param revision the key's new revision if the write was applied
     */
    record StoreAnswered(String model, String writeId, StoreAnswer answer, long revision) implements ControllerEvent {}

    /** The store answered a read of a move record. */
    record RecordRead(String model, Optional<StoredRecord> stored) implements ControllerEvent {}

    /** An agent answered an order. */
    record OrderAnswered(String orderId, OrderResult result) implements ControllerEvent {}

    /** Time passed. */
    record Tick() implements ControllerEvent {}

    /** Fate of a write. */
    enum StoreAnswer {
        APPLIED,
        COMPARE_FAILED,
        /** The reply was lost; the write may have taken effect. */
        UNKNOWN,
        /** The write was not sent. */
        UNAVAILABLE
    }
}
