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

/** An engine with slots, a first-in first-out queue and a prefix cache of limited size. */
final class SimulatedUpstream {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final int CACHED_PREFIXES = 32;

    private final UpstreamDescription description;
    private final Deque<Job> queue = new ArrayDeque<>();
    private final List<Running> running = new ArrayList<>();
    private final Set<Long> cache = new LinkedHashSet<>();
    private final List<Long> cachedSinceReport = new ArrayList<>();
    private final List<Long> evictedSinceReport = new ArrayList<>();
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

    void enqueue(Job job) {
        queue.addLast(job);
        estimatedWorkMillis += estimateMillis(job.request());
    }

    /** Starts the next request if a slot is free and returns it, or empty. */
    Optional<Running> startNext(long nowMicros) {
        if (queue.isEmpty() || running.size() >= description.slots()) {
            return Optional.empty();
        }
        Job job = queue.removeFirst();
        boolean cached = useCache(job.request().spec().work().prefixHash());
        Running started = new Running(job, nowMicros, job.request().serviceMicros(description.speed(), cached));
        running.add(started);
        return Optional.of(started);
    }

    void finish(Running finished) {
        running.remove(finished);
        estimatedWorkMillis -= estimateMillis(finished.job().request());
    }

    LoadReport report(long nowMicros) {
        long doneMillis = 0;
        for (Running each : running) {
            long elapsedMillis = (nowMicros - each.startedAtMicros()) / MICROS_PER_MILLI;
            doneMillis += Math.min(elapsedMillis, estimateMillis(each.job().request()));
        }
        long backlogMillis = (estimatedWorkMillis - doneMillis) / description.slots();
        LoadReport report =
                new LoadReport(backlogMillis, running.size(), queue.size(), cachedSinceReport, evictedSinceReport);
        cachedSinceReport.clear();
        evictedSinceReport.clear();
        return report;
    }

    private boolean useCache(long prefixHash) {
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
            Long oldest = cache.iterator().next();
            cache.remove(oldest);
            evictedSinceReport.add(oldest);
        }
        return false;
    }

    private long estimateMillis(SimulatedRequest request) {
        return request.spec().work().serviceMillis(description.speed());
    }

    /** A request at the upstream, and what follows when it ends. */
    record Job(SimulatedRequest request, Runnable onEnded) {}

    /** A job that got a slot. */
    record Running(Job job, long startedAtMicros, long serviceMicros) {}
}
