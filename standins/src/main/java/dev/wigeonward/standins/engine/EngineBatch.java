package dev.wigeonward.standins.engine;

import java.time.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import dev.wigeonward.common.ring.DaemonSchedulers;

/** Runs streams in a fixed number of slots in the order of arrival, without priorities. */
final class EngineBatch implements AutoCloseable {
    private static final String ALL_VERSIONS = "";
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long STEP_MILLIS = 2;
    private static final long ENDED_STREAM_RETENTION_MILLIS = 60_000;
    /** Prompt tokens that need no prefill if the prefix is cached. */
    private static final int PREFIX_TOKENS = 256;

    private final EngineProfile profile;
    private final Clock clock;
    private final ScheduledExecutorService scheduler = DaemonSchedulers.newSingleThreadScheduler("engine-batch");
    private final ArrayDeque<EngineStream> waiting = new ArrayDeque<>();
    private final List<EngineStream> running = new ArrayList<>();
    private final Map<String, EngineStream> streams = new HashMap<>();
    private final LinkedHashMap<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
    private final ArrayDeque<Map<String, Object>> reports = new ArrayDeque<>();
    private final List<Map<String, Object>> cacheEvents = new ArrayList<>();
    private final Map<String, EngineFaults> faultsByVersion = new HashMap<>();
    private long lastStepMillis;
    private int submitted;

    EngineBatch(EngineProfile profile, Clock clock) {
        this.profile = profile;
        this.clock = clock;
        this.lastStepMillis = clock.millis();
        scheduler.scheduleAtFixedRate(this::step, STEP_MILLIS, STEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Queues a stream; returns false if an injected fault makes the request fail. */
    synchronized boolean submit(EngineStream stream, long prefixHash) {
        submitted++;
        EngineFaults faults = faults(stream.version());
        boolean loaded = running.size() >= faults.failAboveRunning();
        if (faults.failEvery() > 0 && submitted % faults.failEvery() == 0 && loaded) {
            return false;
        }
        useCache(stream, prefixHash);
        streams.put(stream.id(), stream);
        waiting.add(stream);
        admit();
        return true;
    }

    private void useCache(EngineStream stream, long prefixHash) {
        if (prefixHash == 0 || profile.cachedPrefixes() == 0) {
            return;
        }
        if (cache.get(prefixHash) != null) {
            stream.useCache(Math.min(PREFIX_TOKENS, stream.promptTokens()));
            return;
        }
        cache.put(prefixHash, true);
        cacheEvent("cached", prefixHash);
        if (cache.size() > profile.cachedPrefixes()) {
            long oldest = cache.keySet().iterator().next();
            cache.remove(oldest);
            cacheEvent("evicted", oldest);
        }
    }

    private void cacheEvent(String kind, long prefixHash) {
        cacheEvents.add(
                Map.of("sequence", cacheEvents.size() + 1, "kind", kind, "prefix", prefixHash, "time", clock.millis()));
    }

    private void admit() {
        while (running.size() < profile.slots() && !waiting.isEmpty()) {
            running.add(waiting.poll());
        }
    }

    private synchronized void step() {
        long nowMillis = clock.millis();
        double seconds = (nowMillis - lastStepMillis) / MILLIS_PER_SECOND;
        lastStepMillis = nowMillis;
        running.removeIf(stream -> {
            double slowFactor = faults(stream.version()).slowFactor();
            boolean complete = stream.advance(
                    seconds / slowFactor, profile.prefillTokensPerSecond(), profile.decodeTokensPerSecond());
            if (complete) {
                stream.complete(nowMillis);
            }
            return complete;
        });
        admit();
        reports.add(Map.of("time", nowMillis, "running", running.size(), "waiting", waiting.size()));
        while (reports.size() > 1 && (long) reports.peek().get("time") < nowMillis - profile.reportLagMillis()) {
            reports.poll();
        }
        streams.values().removeIf(stream -> stream.endedBefore(nowMillis - ENDED_STREAM_RETENTION_MILLIS));
    }

    synchronized Optional<EngineStream> find(String id) {
        return Optional.ofNullable(streams.get(id));
    }

    synchronized void cancel(String id) {
        EngineStream stream = streams.remove(id);
        if (stream == null) {
            return;
        }
        waiting.remove(stream);
        running.remove(stream);
        stream.cancel(clock.millis());
        admit();
    }

    synchronized void cancelAll() {
        List.copyOf(streams.keySet()).forEach(this::cancel);
    }

    /** Sets the faults of a version; an empty version sets those of all versions without faults of their own. */
    synchronized void setFaults(String version, EngineFaults next) {
        faultsByVersion.put(version, next);
    }

    private EngineFaults faults(String version) {
        return faultsByVersion.getOrDefault(version, faultsByVersion.getOrDefault(ALL_VERSIONS, EngineFaults.NONE));
    }

    /** Returns the load as it was one report lag ago. */
    synchronized Map<String, Object> laggingLoad() {
        return reports.isEmpty() ? Map.of("running", 0, "waiting", 0) : reports.peek();
    }

    /** Returns the cache events after a sequence number that are at least as old as the report lag. */
    synchronized List<Map<String, Object>> cacheEventsAfter(int sequence) {
        long newestMillis = clock.millis() - profile.reportLagMillis();
        return cacheEvents.stream()
                .filter(event -> (int) event.get("sequence") > sequence && (long) event.get("time") <= newestMillis)
                .toList();
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }
}
