package dev.wigeonward.gateway.peer;

import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Record of which peers hold items that this entry lacks, by the fingerprints that they announce. Because entries only
 * ever add to what they hold, this entry holds everything behind each fingerprint that it had itself or whose view it
 * has merged. Not thread-safe.
 */
final class ViewCoverage {
    /** Number of fingerprints that are remembered; forgetting one costs an unneeded request. */
    private static final int MAX_FINGERPRINTS = 256;
    /** Fingerprint announced by a peer that states none. */
    private static final long NONE = 0;

    private final Set<Long> covered = Collections.newSetFromMap(new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > MAX_FINGERPRINTS;
        }
    });
    private long lastCovered = NONE;
    /** Fingerprints of the peers that hold items which this entry lacks, by peer. */
    private final Map<String, Long> aheadFingerprints = new HashMap<>();

    /** Records that this entry holds everything behind the fingerprint. */
    void addCovered(long fingerprint) {
        if (fingerprint == lastCovered) {
            return;
        }
        lastCovered = fingerprint;
        // Inserted anew, so that the fingerprints in use are the last to be forgotten.
        covered.remove(fingerprint);
        covered.add(fingerprint);
        aheadFingerprints.values().removeIf(ahead -> ahead == fingerprint);
    }

    /** Records the fingerprint that a peer announced and returns whether the peer holds items that this entry lacks. */
    boolean onAnnounced(String peer, long fingerprint) {
        boolean ahead = fingerprint != NONE && !covered.contains(fingerprint);
        if (ahead) {
            aheadFingerprints.put(peer, fingerprint);
        } else {
            aheadFingerprints.remove(peer);
        }
        return ahead;
    }

    /** Forgets a peer whose link went down. */
    void removePeer(String peer) {
        aheadFingerprints.remove(peer);
    }

    /** Returns whether any linked peer holds items that this entry lacks. */
    boolean anyAhead() {
        return !aheadFingerprints.isEmpty();
    }
}
