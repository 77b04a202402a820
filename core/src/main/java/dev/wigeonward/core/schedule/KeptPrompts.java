package dev.wigeonward.core.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import dev.wigeonward.core.placement.PrefixIndex;

/**
 * Estimate of the prompts that the upstreams keep in their caches, from the placements of this entry and those that its
 * peers report. An upstream that keeps the start of a prompt reads only the rest. A wrong estimate costs time only. Not
 * thread-safe.
 */
public final class KeptPrompts {
    /** Prefixes remembered for one upstream: about as many as the memory of an engine holds. */
    private static final int MAX_PREFIXES_PER_UPSTREAM = 512;
    /** Prefixes remembered in total; they take a few megabytes. */
    private static final int MAX_PREFIXES = 24_576;
    /** Upstreams that are considered as holders of one prefix, the most recent ones. */
    private static final int MAX_HOLDERS = 12;

    private final PrefixIndex index = PrefixIndex.withBounds(MAX_PREFIXES_PER_UPSTREAM, MAX_PREFIXES);
    private Map<String, List<Long>> unreported = new HashMap<>();

    private KeptPrompts() {}

    /** Returns an estimate without any prompt. */
    public static KeptPrompts create() {
        return new KeptPrompts();
    }

    /** Records that a peer has placed prompts on a lifetime of an upstream. */
    public void onPeerPlaced(String lifetimeId, Collection<Long> prefixHashes) {
        prefixHashes.forEach(hash -> index.onPlaced(lifetimeId, hash));
    }

    /** Returns the hashes of the prefixes placed since the last call, by lifetime of the upstream. */
    public Map<String, List<Long>> takePlaced() {
        Map<String, List<Long>> taken = unreported;
        unreported = new HashMap<>();
        return taken;
    }

    void onPlaced(String lifetimeId, List<PromptPrefix> prefixes) {
        for (PromptPrefix prefix : prefixes) {
            index.onPlaced(lifetimeId, prefix.hash());
            unreported.computeIfAbsent(lifetimeId, key -> new ArrayList<>()).add(prefix.hash());
        }
    }

    /** Returns the tokens of the longest known prefix that each upstream keeps, by lifetime; others keep none. */
    Map<String, Integer> keptTokens(List<PromptPrefix> prefixes) {
        Map<String, Integer> kept = new HashMap<>();
        for (PromptPrefix prefix : prefixes) {
            index.recentHolders(prefix.hash(), MAX_HOLDERS).forEach(holder -> kept.put(holder, prefix.tokens()));
        }
        return kept;
    }
}
