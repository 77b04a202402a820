package dev.wigeonward.measure.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import dev.wigeonward.core.placement.LoadReport;
import dev.wigeonward.core.placement.UpstreamDescription;

/** A simulated engine with slots, an unbounded FIFO queue and a prefix cache that evicts the least recently used. */
final class SimulatedUpstream {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final int CACHED_PREFIXES = 32;

    private final UpstreamDescription description;
    private final Deque<QueuedRequest> waiting = new ArrayDeque<>();
    private final List<RunningRequest> running = new ArrayList<>();
    private final Set<Long> cache = new LinkedHashSet<>();
    private final List<Long> cachedSinceReport = new ArrayList<>();
    private final List<Long> evictedSinceReport = new ArrayList<>();
    /** Estimated service time of all queued and running requests. */
    private long estimatedWorkMillis;

    private long cacheHits;

    SimulatedUpstream(UpstreamDescription description) {
        this.description = description;
    }

    UpstreamDescription description() {
        return description;
    }

    long cacheHits() {
        return cacheHits;
    }

    /** Adds a request to the end of the queue. */
    void enqueue(QueuedRequest queued) {
        waiting.addLast(queued);
        estimatedWorkMillis += estimateMillis(queued.request());
    }

    /** Starts the next queued request and returns it, or returns empty if the queue is empty or no slot is free. */
    Optional<RunningRequest> startNext(long nowMicros) {
        if (waiting.isEmpty() || running.size() >= description.slots()) {
            return Optional.empty();
        }
        QueuedRequest queued = waiting.removeFirst();
        boolean cached = cachePrefix(queued.request().spec().work().prefixHash());
        RunningRequest started =
                new RunningRequest(queued, nowMicros, queued.request().serviceMicros(description.speed(), cached));
        running.add(started);
        return Optional.of(started);
    }

    /** Frees the slot of a request. */
    void finish(RunningRequest finished) {
        running.remove(finished);
        estimatedWorkMillis -= estimateMillis(finished.queued().request());
    }

    /** Returns the load at the given time, with the prefixes cached and evicted since the last call. */
    LoadReport report(long nowMicros) {
        long doneMillis = 0;
        for (RunningRequest each : running) {
            long elapsedMillis = (nowMicros - each.startedAtMicros()) / MICROS_PER_MILLI;
            doneMillis += Math.min(elapsedMillis, estimateMillis(each.queued().request()));
        }
        long backlogMillis = (estimatedWorkMillis - doneMillis) / description.slots();
        LoadReport report =
                new LoadReport(backlogMillis, running.size(), waiting.size(), cachedSinceReport, evictedSinceReport);
        cachedSinceReport.clear();
        evictedSinceReport.clear();
        return report;
    }

    /** Makes the prefix the most recently used one and returns whether it was cached before; 0 means no prefix. */
    private boolean cachePrefix(long prefixHash) {
        if (prefixHash == 0) {
            return false;
        }
        boolean cached = cache.remove(prefixHash);
        cache.add(prefixHash);
        if (cached) {
            cacheHits++;
            return true;
        }
        cachedSinceReport.add(prefixHash);
        if (cache.size() > CACHED_PREFIXES) {
            Long leastRecent = cache.iterator().next();
            cache.remove(leastRecent);
            evictedSinceReport.add(leastRecent);
        }
        return false;
    }

    private long estimateMillis(SimulatedRequest request) {
        return request.spec().work().serviceMillis(description.speed());
    }

    /** A request at the upstream and the action to run at its end. */
    record QueuedRequest(SimulatedRequest request, Runnable onEnded) {}

    /** A request that occupies a slot. */
    record RunningRequest(QueuedRequest queued, long startedAtMicros, long serviceMicros) {}
}
