package dev.wigeonward.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.google.common.base.Preconditions;
import dev.wigeonward.core.request.EngineSpeed;
import dev.wigeonward.core.request.WorkEstimate;

/**
 * Which upstreams probably hold which prompt prefixes in their caches. Cache events arrive late and with gaps, so an
 * entry may be wrong; a wrong entry costs time only. The least recently confirmed entries leave first, both of an
 * upstream and of the whole index. All operations on one entry take constant time. Not thread-safe.
 */
public final class PrefixIndex {
    /** Most prefixes kept for one upstream. */
    public static final int MAX_PER_UPSTREAM = 4_096;

    /** Most entries kept in all. */
    public static final int MAX_TOTAL = 65_536;

    /** A work estimate carries no length of its prefix, so half of the prompt is taken as cached. */
    private static final int CACHED_PROMPT_DIVISOR = 2;

    private final int maxPerUpstream;
    private final int maxTotal;
    /** The holdings of each upstream, in the order in which they were confirmed. */
    private final Map<String, Map<Long, Holding>> byUpstream = new HashMap<>();

    private final Map<Long, Chain> byPrefix = new HashMap<>();
    private final Chain all = new Chain();
    private int size;

    private PrefixIndex(int maxPerUpstream, int maxTotal) {
        Preconditions.checkArgument(maxPerUpstream > 0, "maxPerUpstream is %s", maxPerUpstream);
        Preconditions.checkArgument(maxTotal > 0, "maxTotal is %s", maxTotal);
        this.maxPerUpstream = maxPerUpstream;
        this.maxTotal = maxTotal;
    }

    /** Returns an empty index with the bounds {@link #MAX_PER_UPSTREAM} and {@link #MAX_TOTAL}. */
    public static PrefixIndex create() {
        return new PrefixIndex(MAX_PER_UPSTREAM, MAX_TOTAL);
    }

    /** Returns an empty index with the given bounds. */
    public static PrefixIndex withBounds(int maxPerUpstream, int maxTotal) {
        return new PrefixIndex(maxPerUpstream, maxTotal);
    }

    /** Returns the prefill time that a holder of the work's prefix is expected to save, in milliseconds. */
    static long savedMillis(WorkEstimate work, EngineSpeed speed) {
        return work.prefillMillis(speed) / CACHED_PROMPT_DIVISOR;
    }

    /** Records that a request with the prefix was placed at the upstream. */
    public void onPlaced(String upstreamId, long prefixHash) {
        add(upstreamId, prefixHash);
    }

    /** Applies the cache events of a report; an eviction in the same report as a caching of the prefix wins. */
    public void onReport(String upstreamId, LoadReport report) {
        report.cachedPrefixes().forEach(prefixHash -> add(upstreamId, prefixHash));
        report.evictedPrefixes().forEach(prefixHash -> remove(upstreamId, prefixHash));
    }

    /** Forgets all entries of an upstream that left or started anew with an empty cache. */
    public void removeUpstream(String upstreamId) {
        Map<Long, Holding> held = byUpstream.get(upstreamId);
        if (held != null) {
            List.copyOf(held.values()).forEach(this::unlink);
        }
    }

    /** Returns whether the upstream probably holds the prefix. */
    public boolean holds(String upstreamId, long prefixHash) {
        Map<Long, Holding> held = byUpstream.get(upstreamId);
        return held != null && held.containsKey(prefixHash);
    }

    /** Returns up to {@code limit} probable holders of the prefix, the most recently confirmed first. */
    public List<String> recentHolders(long prefixHash, int limit) {
        Chain chain = byPrefix.get(prefixHash);
        if (chain == null) {
            return List.of();
        }
        List<String> holders = new ArrayList<>(limit);
        for (Link link = chain.next; link != chain && holders.size() < limit; link = link.next) {
            holders.add(link.holding.upstreamId);
        }
        return holders;
    }

    /** Returns the number of entries of one upstream. */
    public int size(String upstreamId) {
        Map<Long, Holding> held = byUpstream.get(upstreamId);
        return held == null ? 0 : held.size();
    }

    /** Returns the number of entries. */
    public int size() {
        return size;
    }

    private void add(String upstreamId, long prefixHash) {
        Map<Long, Holding> held = byUpstream.computeIfAbsent(upstreamId, key -> new LinkedHashMap<>());
        Holding holding = held.remove(prefixHash);
        if (holding == null) {
            holding = new Holding(upstreamId, prefixHash);
            size++;
        } else {
            holding.unchain();
        }
        held.put(holding.prefixHash, holding);
        byPrefix.computeIfAbsent(holding.prefixHash, key -> new Chain()).addNewest(holding.inPrefix);
        all.addNewest(holding.inAll);
        if (held.size() > maxPerUpstream) {
            unlink(held.values().iterator().next());
        }
        if (size > maxTotal) {
            unlink(all.oldest());
        }
    }

    private void remove(String upstreamId, long prefixHash) {
        Map<Long, Holding> held = byUpstream.get(upstreamId);
        Holding holding = held == null ? null : held.get(prefixHash);
        if (holding != null) {
            unlink(holding);
        }
    }

    private void unlink(Holding holding) {
        holding.unchain();
        size--;
        if (byPrefix.get(holding.prefixHash).isEmpty()) {
            byPrefix.remove(holding.prefixHash);
        }
        Map<Long, Holding> held = byUpstream.get(holding.upstreamId);
        held.remove(holding.prefixHash);
        if (held.isEmpty()) {
            byUpstream.remove(holding.upstreamId);
        }
    }

    /** One prefix at one upstream; its boxed hash is the key of both maps, which keeps the index small. */
    private static final class Holding {
        private final String upstreamId;
        private final Long prefixHash;
        private final Link inPrefix = new Link(this);
        private final Link inAll = new Link(this);

        private Holding(String upstreamId, Long prefixHash) {
            this.upstreamId = upstreamId;
            this.prefixHash = prefixHash;
        }

        private void unchain() {
            inPrefix.unchain();
            inAll.unchain();
        }
    }

    private static class Link {
        final Holding holding;
        Link next = this;
        Link previous = this;

        Link(Holding holding) {
            this.holding = holding;
        }

        final void unchain() {
            previous.next = next;
            next.previous = previous;
        }
    }

    /** Circular list that is its own head: {@code next} is the newest link and {@code previous} the oldest. */
    private static final class Chain extends Link {
        private Chain() {
            super(null);
        }

        private void addNewest(Link link) {
            link.previous = this;
            link.next = next;
            next.previous = link;
            next = link;
        }

        private Holding oldest() {
            return previous.holding;
        }

        private boolean isEmpty() {
            return next == this;
        }
    }
}
