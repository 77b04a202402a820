package dev.wigeonward.core.schedule.pace;

import java.util.HashMap;
import java.util.Map;

/** Counts that the peers of an entry have reported, with their sum for each upstream. Not thread-safe. */
final class PeerPaceTable {
    private final Map<String, Map<String, PaceCounts>> countsByPeer = new HashMap<>();
    private final Map<String, PaceCounts> totals = new HashMap<>();

    /** Replaces all counts of a peer, or those of the given upstreams if the report is partial. */
    void update(String peer, Map<String, PaceCounts> counts, boolean partial) {
        Map<String, PaceCounts> known = countsByPeer.computeIfAbsent(peer, name -> new HashMap<>());
        if (!partial) {
            known.keySet().retainAll(counts.keySet());
        }
        counts.forEach((id, count) -> {
            if (count.equals(PaceCounts.NONE)) {
                known.remove(id);
            } else {
                known.put(id, count);
            }
        });
        totals.clear();
    }

    void remove(String peer) {
        countsByPeer.remove(peer);
        totals.clear();
    }

    /** Returns the sum of the counts of all peers. */
    PaceCounts total(String upstreamId) {
        return totals.computeIfAbsent(upstreamId, this::sum);
    }

    private PaceCounts sum(String upstreamId) {
        PaceCounts sum = PaceCounts.NONE;
        for (Map<String, PaceCounts> counts : countsByPeer.values()) {
            sum = sum.plus(counts.getOrDefault(upstreamId, PaceCounts.NONE));
        }
        return sum;
    }
}
