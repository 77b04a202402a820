package dev.wigeonward.agent.runtime;

import java.util.ArrayList;
import java.util.List;

import dev.wigeonward.agent.upstream.UpstreamClient.CacheEvents;
import dev.wigeonward.wire.generated.Load;

/** Changes of the engine's prefix cache that were not sent to the entries yet. */
final class UnsentCacheEvents {
    /**
     * Maximum number of prefixes of each kind in one heartbeat, which limits it to about 20 KB; the rest follows later.
     */
    private static final int MAX_PREFIXES = 1_000;

    private final List<Long> cached = new ArrayList<>();
    private final List<Long> evicted = new ArrayList<>();
    private long lastSequence;

    void add(CacheEvents events) {
        // A repeated answer to the same poll must not add its events again.
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

    /** Moves the oldest changes to a load report and returns the report. */
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
