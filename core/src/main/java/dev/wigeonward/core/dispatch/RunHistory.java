package dev.wigeonward.core.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;

import dev.wigeonward.core.request.DispatchId;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;

/**
 * Bounded record of the requests that the upstream received and of the dispatches that were answered as not run, kept
 * after their runs are removed. Without it, a reattach to a cancelled or removed run would be answered as if the
 * request had never been received, and a late copy of a refused dispatch would start a run. Not thread-safe.
 */
final class RunHistory {
    /** Lifetime of a claim; until its end, a resend may attach to the run that the claim refers to. */
    private static final long CLAIMED_MILLIS = 24L * 3_600 * 1_000;

    /** Margin for copies of frames that arrive late; an entry sends frames for a request until its deadline. */
    private static final long AFTER_DEADLINE_MILLIS = 60_000;

    private final int maxEntries;
    private final Map<RequestId, Long> ran = new HashMap<>();
    private final Map<DispatchId, Long> refused = new HashMap<>();
    private final PriorityQueue<Expiry> expiries = new PriorityQueue<>(Comparator.comparingLong(Expiry::untilMillis));
    /** Time until which a missing request may have run, because its record was evicted before it expired. */
    private long incompleteUntilMillis = Long.MIN_VALUE;

    private record Expiry(long untilMillis, RequestId run, DispatchId dispatch) {}

    RunHistory(int maxEntries) {
        this.maxEntries = maxEntries;
    }

    /** Records that a request is submitted to the upstream. */
    void recordRun(RequestSpec request, long nowMillis) {
        long untilMillis = request.idempotent() ? untilMillis(request) : nowMillis + CLAIMED_MILLIS;
        ran.put(request.id(), untilMillis);
        add(new Expiry(untilMillis, request.id(), null), nowMillis);
    }

    /** Removes the record of a submitted request that provably never reached the upstream. */
    void recordNotRun(RequestId request) {
        ran.remove(request);
    }

    /** Records that a dispatch was answered as not run. */
    void recordRefusal(RequestSpec request, DispatchId dispatch, long nowMillis) {
        long untilMillis = untilMillis(request);
        refused.put(dispatch, untilMillis);
        add(new Expiry(untilMillis, null, dispatch), nowMillis);
    }

    private static long untilMillis(RequestSpec request) {
        return request.deadlineMillis() + AFTER_DEADLINE_MILLIS;
    }

    private void add(Expiry expiry, long nowMillis) {
        expiries.add(expiry);
        while (!expiries.isEmpty() && expiries.peek().untilMillis() <= nowMillis) {
            removeRecord(expiries.poll());
        }
        while (expiries.size() > maxEntries) {
            Expiry evicted = expiries.poll();
            removeRecord(evicted);
            if (evicted.run() != null) {
                incompleteUntilMillis = Math.max(incompleteUntilMillis, evicted.untilMillis());
            }
        }
    }

    private void removeRecord(Expiry expiry) {
        if (expiry.run() != null) {
            ran.remove(expiry.run(), expiry.untilMillis());
        } else {
            refused.remove(expiry.dispatch(), expiry.untilMillis());
        }
    }

    /** Returns whether the request is recorded as submitted to the upstream. */
    boolean hasRun(RequestId request) {
        return ran.containsKey(request);
    }

    /** Returns whether the request was submitted to the upstream, or may have been and was evicted from this record. */
    boolean mayHaveRun(RequestId request, long nowMillis) {
        return ran.containsKey(request) || nowMillis < incompleteUntilMillis;
    }

    /** Returns whether the dispatch is recorded as answered with "not run". */
    boolean wasRefused(DispatchId dispatch) {
        return refused.containsKey(dispatch);
    }
}
