package dev.wigeonward.core.rollout;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/** Requests of a service since the start of its rollout, as counted by all entries. Not thread-safe. */
final class RolloutTraffic {
    /** Period over which the recent rate is measured. */
    private static final long RECENT_MILLIS = 1_000;
    /** Minimum time between two samples of the total. */
    private static final long SAMPLE_MILLIS = 100;

    private final long startMillis;
    private final Map<String, Long> requestsBySource = new HashMap<>();
    private final Deque<Sample> samples = new ArrayDeque<>();
    private long targetRequests;
    private long totalRequests;

    RolloutTraffic(long startMillis) {
        this.startMillis = startMillis;
        samples.add(new Sample(startMillis, 0));
    }

    /**
     * Records the cumulative counter of a source. The first counter of a source of other versions may cover days before
     * the rollout, so only later increases of it count.
     */
    void add(String source, boolean isTarget, long requests, long nowMillis) {
        Long before = requestsBySource.put(source, requests);
        long added = before == null ? isTarget ? requests : 0 : requests - before;
        totalRequests += added;
        targetRequests += isTarget ? added : 0;
        if (nowMillis - samples.getLast().millis >= SAMPLE_MILLIS) {
            samples.add(new Sample(nowMillis, totalRequests));
        }
        while (samples.size() > 2 && nowMillis - samples.getFirst().millis > RECENT_MILLIS) {
            samples.removeFirst();
        }
    }

    /** Returns the requests that the target version got. */
    long targetRequests() {
        return targetRequests;
    }

    /** Returns the requests that all versions got. */
    long totalRequests() {
        return totalRequests;
    }

    /** Returns the requests per millisecond since the start. */
    double averageRate(long nowMillis) {
        return (double) totalRequests / Math.max(1, nowMillis - startMillis);
    }

    /** Returns the requests per millisecond of about the last second. */
    double recentRate(long nowMillis) {
        Sample first = samples.getFirst();
        return (double) (totalRequests - first.requests) / Math.max(SAMPLE_MILLIS, nowMillis - first.millis);
    }

    private record Sample(long millis, long requests) {}
}
