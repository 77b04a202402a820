package dev.wigeonward.core.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What the controller holds in memory about one move beside its stored record. */
final class Move {
    /** The last record known to be in the store; for a new model one that is not written yet. */
    MoveRecord record;
    /** The record whose write is not confirmed, or null. */
    MoveRecord pending;
    /** Whether the fate of the pending write is unknown and a read is needed. */
    boolean inDoubt;

    long revision;
    long lastAttemptMillis;
    long activeMillis;
    boolean lateReported;
    boolean withdrawn;
    MoveEvidence evidence;
    final Map<String, Long> sentMillisByOrder = new HashMap<>();
    final Map<String, Long> missingSinceMillisByOrder = new HashMap<>();
    final Set<String> answeredOrders = new HashSet<>();
    long retryOrdersMillis;

    Move(MoveRecord record, long revision, long confirmMillis) {
        this.record = record;
        this.revision = revision;
        this.evidence = new MoveEvidence(record.oldVersion(), record.newVersion(), confirmMillis);
    }

    /** Returns the record with every order that may have been sent. */
    MoveRecord latest() {
        return pending == null ? record : pending;
    }

    /** Returns the announced orders that are not answered. */
    List<OrderIntent> openIntents() {
        List<OrderIntent> open = new ArrayList<>(latest().intents());
        open.removeIf(intent -> answeredOrders.contains(intent.orderId()));
        return open;
    }
}
