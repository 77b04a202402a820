package dev.wigeonward.gateway.peer;

import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Record of which peers hold the control items that this entry holds, by the fingerprints that they announce. Entries
 * only ever add to what they hold, so a peer that announces a fingerprint that this entry had since an item was applied
 * holds that item as well. Not thread-safe.
 */
public final class FollowingPeers {
    /** Number of fingerprints that are remembered; forgetting one costs the time until the peer's next announcement. */
    private static final int MAX_FINGERPRINTS = 64;
    /** Fingerprint of a message that announces none. */
    private static final long NONE = 0;

    private final long maxSilenceMillis;
    private final Set<Long> ownFingerprints = Collections.newSetFromMap(new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > MAX_FINGERPRINTS;
        }
    });
    private final Map<String, Peer> peers = new HashMap<>();

    /**
     * Creates a record without peers.
     *
     * @param maxSilenceMillis time after its last message at which a peer no longer counts
     */
    public FollowingPeers(long maxSilenceMillis) {
        this.maxSilenceMillis = maxSilenceMillis;
    }

    /** Forgets the fingerprints of this entry, because it has applied an item that they do not include. */
    public void forgetFingerprints() {
        ownFingerprints.clear();
    }

    /** Records the current fingerprint of this entry. */
    public void addOwnFingerprint(long fingerprint) {
        ownFingerprints.add(fingerprint);
    }

    /** Records that a peer was heard; a fingerprint of 0 keeps the one that it announced before. */
    public void onHeard(String peer, long fingerprint, long nowMillis) {
        peers.merge(
                peer,
                new Peer(fingerprint, nowMillis),
                (known, heard) -> heard.fingerprint() == NONE ? new Peer(known.fingerprint(), nowMillis) : heard);
    }

    /** Returns whether each peer that was heard of late holds what this entry holds. */
    public boolean allFollow(long nowMillis) {
        peers.values().removeIf(peer -> nowMillis - peer.heardAtMillis() > maxSilenceMillis);
        return peers.values().stream().allMatch(peer -> ownFingerprints.contains(peer.fingerprint()));
    }

    private record Peer(long fingerprint, long heardAtMillis) {}
}
