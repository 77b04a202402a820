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
 * Index of the prompt prefixes that upstreams probably hold in their caches. Cache events arrive late and with gaps, so
 * an index entry may be wrong; a wrong entry only costs time. The least recently confirmed entries are evicted first,
 * both per upstream and in the whole index. All operations on one entry take constant time. Not thread-safe.
 */
public final class PrefixIndex {
    /** Maximum number of prefixes kept for one upstream. */
    public static final int MAX_PER_UPSTREAM = 4_096;

    /** Maximum number of entries kept in total. */
    public static final int MAX_TOTAL = 65_536;

    /**
     * Half of the prompt is assumed to be cached, because a work estimate does not contain the length of its prefix.
     */
    private static final int CACHED_PROMPT_DIVISOR = 2;

    private final int maxPerUpstream;
    private final int maxTotal;
    /** Entries of each upstream, in the order in which they were last confirmed. */
    private final Map<String, Map<Long, Entry>> byUpstream = new HashMap<>();

    private final Map<Long, RecencyList> byPrefix = new HashMap<>();
    private final RecencyList all = new RecencyList();
    private int size;

    private PrefixIndex(int maxPerUpstream, int maxTotal) {
        Preconditions.checkArgument(maxPerUpstream > 0, "maxPerUpstream must be positive but was %s", maxPerUpstream);
        Preconditions.checkArgument(maxTotal > 0, "maxTotal must be positive but was %s", maxTotal);
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

    /**
     * Applies the cache events of a report; if a prefix is both cached and evicted in it, the eviction takes effect.
     */
    public void onReport(String upstreamId, LoadReport report) {
        report.cachedPrefixes().forEach(prefixHash -> add(upstreamId, prefixHash));
        report.evictedPrefixes().forEach(prefixHash -> remove(upstreamId, prefixHash));
    }

    /** Removes all entries of an upstream that left or restarted with an empty cache. */
    public void removeUpstream(String upstreamId) {
        Map<Long, Entry> held = byUpstream.get(upstreamId);
        if (held != null) {
            List.copyOf(held.values()).forEach(this::removeEntry);
        }
    }

    /** Returns whether the upstream probably holds the prefix. */
    public boolean holds(String upstreamId, long prefixHash) {
        Map<Long, Entry> held = byUpstream.get(upstreamId);
        return held != null && held.containsKey(prefixHash);
    }

    /** Returns up to {@code limit} probable holders of the prefix, the most recently confirmed first. */
    public List<String> recentHolders(long prefixHash, int limit) {
        RecencyList recencyList = byPrefix.get(prefixHash);
        if (recencyList == null) {
            return List.of();
        }
        List<String> holders = new ArrayList<>(limit);
        for (Node node = recencyList.next; node != recencyList && holders.size() < limit; node = node.next) {
            holders.add(node.entry.upstreamId);
        }
        return holders;
    }

    /** Returns the number of entries of one upstream. */
    public int size(String upstreamId) {
        Map<Long, Entry> held = byUpstream.get(upstreamId);
        return held == null ? 0 : held.size();
    }

    /** Returns the total number of entries. */
    public int size() {
        return size;
    }

    private void add(String upstreamId, long prefixHash) {
        Map<Long, Entry> held = byUpstream.computeIfAbsent(upstreamId, key -> new LinkedHashMap<>());
        Entry entry = held.remove(prefixHash);
        if (entry == null) {
            entry = new Entry(upstreamId, prefixHash);
            size++;
        } else {
            entry.unlinkNodes();
        }
        held.put(entry.prefixHash, entry);
        byPrefix.computeIfAbsent(entry.prefixHash, key -> new RecencyList()).addNewest(entry.prefixNode);
        all.addNewest(entry.globalNode);
        if (held.size() > maxPerUpstream) {
            removeEntry(held.values().iterator().next());
        }
        if (size > maxTotal) {
            removeEntry(all.oldest());
        }
    }

    private void remove(String upstreamId, long prefixHash) {
        Map<Long, Entry> held = byUpstream.get(upstreamId);
        Entry entry = held == null ? null : held.get(prefixHash);
        if (entry != null) {
            removeEntry(entry);
        }
    }

    private void removeEntry(Entry entry) {
        entry.unlinkNodes();
        size--;
        if (byPrefix.get(entry.prefixHash).isEmpty()) {
            byPrefix.remove(entry.prefixHash);
        }
        Map<Long, Entry> held = byUpstream.get(entry.upstreamId);
        held.remove(entry.prefixHash);
        if (held.isEmpty()) {
            byUpstream.remove(entry.upstreamId);
        }
    }

    /** Index entry for one prefix at one upstream; both maps share its boxed hash as their key, which saves memory. */
    private static final class Entry {
        private final String upstreamId;
        private final Long prefixHash;
        private final Node prefixNode = new Node(this);
        private final Node globalNode = new Node(this);

        private Entry(String upstreamId, Long prefixHash) {
            this.upstreamId = upstreamId;
            this.prefixHash = prefixHash;
        }

        private void unlinkNodes() {
            prefixNode.unlink();
            globalNode.unlink();
        }
    }

    /** Node of a doubly linked list. */
    private static class Node {
        final Entry entry;
        Node next = this;
        Node previous = this;

        Node(Entry entry) {
            this.entry = entry;
        }

        final void unlink() {
            previous.next = next;
            next.previous = previous;
        }
    }

    /**
     * Circular list that serves as its own sentinel: {@code next} is the newest node and {@code previous} the oldest.
     */
    private static final class RecencyList extends Node {
        private RecencyList() {
            super(null);
        }

        private void addNewest(Node node) {
            node.previous = this;
            node.next = next;
            next.previous = node;
            next = node;
        }

        private Entry oldest() {
            return previous.entry;
        }

        private boolean isEmpty() {
            return next == this;
        }
    }
}
