package dev.wigeonward.agent.runtime;

import java.util.ArrayList;
import java.util.List;

import dev.wigeonward.agent.upstream.UpstreamClient.CacheEvents;
import dev.wigeonward.wire.generated.Load;

/** Changes of the engine's prefix cache that entries were not told yet. */
final class CacheNews {
    /** Bounds one heartbeat to about 20 KB; what exceeds it comes with the next. */
    private static final int MAX_PREFIXES = 1_000;

    private final List<Long> cached = new ArrayList<>();
    private final List<Long> evicted = new ArrayList<>();
    private long lastSequence;

    void add(CacheEvents events) {
        // A second answer to the same question changes nothing.
        if (events.lastSequence() <= lastSequence) {
            return;
        }
        lastSequence = events.lastSequence();
        cached.addAll(events.cachedPrefixes());
        evicted.addAll(events.evictedPrefixes());
    }

    long lastSequence() {
        return lastSequence;
    }

    boolean isEmpty() {
        return cached.isEmpty() && evicted.isEmpty();
    }

    /** Moves the oldest changes into a load report. */
    Load moveTo(Load.Builder load) {
        List<Long> oldestCached = cached.subList(0, Math.min(MAX_PREFIXES, cached.size()));
        List<Long> oldestEvicted = evicted.subList(0, Math.min(MAX_PREFIXES, evicted.size()));
        Load report = load.addAllCachedPrefixes(oldestCached)
                .addAllEvictedPrefixes(oldestEvicted)
                .build();
        oldestCached.clear();
        oldestEvicted.clear();
        return report;
    }
}
