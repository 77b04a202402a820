package dev.wigeonward.core.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;

import dev.wigeonward.core.request.DispatchId;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;

/**
 * What an agent remembers of requests beyond their runs: which ones its upstream got, and which dispatches it answered
 * as not run. Without it, an entry that asks for a run that was cancelled or forgotten would be told that the request
 * was never received, and a late copy of a refused dispatch would start a run. Not thread-safe.
 */
final class RunMemory {
    /** A claim names the agent for this long, and a resend may ask about it at any time. */
    private static final long CLAIMED_MILLIS = 24L * 3_600 * 1_000;

    /** An entry asks until the deadline of the request; copies of frames may arrive somewhat later. */
    private static final long AFTER_DEADLINE_MILLIS = 60_000;

    private final int maxEntries;
    private final Map<RequestId, Long> ran = new HashMap<>();
    private final Map<DispatchId, Long> refused = new HashMap<>();
    private final PriorityQueue<Expiry> expiries = new PriorityQueue<>(Comparator.comparingLong(Expiry::untilMillis));
    /** Until when a request that is not remembered may have been dropped for lack of room. */
    private long incompleteUntilMillis = Long.MIN_VALUE;

    private record Expiry(long untilMillis, RequestId run, DispatchId dispatch) {}

    RunMemory(int maxEntries) {
        this.maxEntries = maxEntries;
    }

    /** Records that a request is handed to the upstream. */
    void ran(RequestSpec request, long nowMillis) {
        long untilMillis = request.idempotent() ? untilMillis(request) : nowMillis + CLAIMED_MILLIS;
        ran.put(request.id(), untilMillis);
        add(new Expiry(untilMillis, request.id(), null), nowMillis);
    }

    /** Records that the upstream provably never saw a request that was to be handed to it. */
    void didNotRun(RequestId request) {
        ran.remove(request);
    }

    /** Records that a dispatch was answered as not run. */
    void refused(RequestSpec request, DispatchId dispatch, long nowMillis) {
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
            drop(expiries.poll());
        }
        while (expiries.size() > maxEntries) {
            Expiry dropped = expiries.poll();
            drop(dropped);
            if (dropped.run() != null) {
                incompleteUntilMillis = Math.max(incompleteUntilMillis, dropped.untilMillis());
            }
        }
    }

    private void drop(Expiry expiry) {
        if (expiry.run() != null) {
            ran.remove(expiry.run(), expiry.untilMillis());
        } else {
            refused.remove(expiry.dispatch(), expiry.untilMillis());
        }
    }

    /** Returns whether the upstream got the request, as far as is remembered. */
    boolean hasRun(RequestId request) {
        return ran.containsKey(request);
    }

    /** Returns whether the upstream got the request, or may have got it before it was dropped from this memory. */
    boolean mayHaveRun(RequestId request, long nowMillis) {
        return ran.containsKey(request) || nowMillis < incompleteUntilMillis;
    }

    /** Returns whether the dispatch was answered as not run. */
    boolean wasRefused(DispatchId dispatch) {
        return refused.containsKey(dispatch);
    }
}
