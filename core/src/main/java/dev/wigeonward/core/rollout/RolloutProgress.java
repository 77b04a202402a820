package dev.wigeonward.core.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** In-memory state of the controller for one rollout. */
final class RolloutProgress {
    /** The last record known to be stored, or the initial record of a new rollout that is not yet written. */
    RolloutRecord record;
    /** The record whose write is not yet confirmed, or null. */
    RolloutRecord pending;
    /** Whether it is unknown if the pending write was applied, so that the record must be read. */
    boolean inDoubt;

    /** Store revision of the record's key, or 0 if the key does not exist. */
    long revision;

    /** Time of the last attempt to write the pending record or to read the stored one. */
    long lastAttemptMillis;

    /** Time in the current stage during which the controller held a valid lease. */
    long activeMillis;

    boolean lateReported;
    /** Whether the rules no longer name the new version. */
    boolean withdrawn;

    RolloutEvidence evidence;
    final Map<String, Long> sentMillisByOrder = new HashMap<>();
    final Map<String, Long> missingSinceMillisByOrder = new HashMap<>();
    final Set<String> answeredOrderIds = new HashSet<>();
    /** Time before which no new orders are planned, because an order failed. */
    long retryOrdersMillis;

    RolloutProgress(RolloutRecord record, long revision, long confirmMillis) {
        this.record = record;
        this.revision = revision;
        this.evidence = new RolloutEvidence(record.oldVersion(), record.newVersion(), confirmMillis);
    }

    /** Returns the pending record, or else the stored one; it lists every order that may have been sent. */
    RolloutRecord latest() {
        return pending == null ? record : pending;
    }

    /** Returns a mutable list of the recorded orders without an answer. */
    List<OrderIntent> unansweredIntents() {
        List<OrderIntent> unanswered = new ArrayList<>(latest().intents());
        unanswered.removeIf(intent -> answeredOrderIds.contains(intent.orderId()));
        return unanswered;
    }
}
