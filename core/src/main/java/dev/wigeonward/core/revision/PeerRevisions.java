package dev.wigeonward.core.revision;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Latest revision number and hash received from each linked peer. A lower number replaces a higher one of that peer.
 */
final class PeerRevisions {
    private static final Claim NO_REVISION = new Claim(0, "");

    private final Map<String, Claim> claims = new LinkedHashMap<>();
    private final Map<String, Failure> failures = new LinkedHashMap<>();

    /** Number and hash of the revision in force at a peer; the hash is empty while it is unknown. */
    record Claim(long number, String hash) {}

    /** A claim whose revision a peer failed to deliver; the peer is not asked for it until the given time. */
    private record Failure(Claim claim, long untilMillis) {}

    /** Adds a peer; a known peer keeps its claim. */
    void linkUp(String peer) {
        claims.putIfAbsent(peer, NO_REVISION);
    }

    /** Removes a peer with its claim and its failure. */
    void linkDown(String peer) {
        claims.remove(peer);
        failures.remove(peer);
    }

    /**
     * Replaces the claim of a peer. Claims of unlinked peers are ignored, since a message may be handled before its
     * link is up or after it is down. A claim without a hash does not replace one with the same number.
     */
    void put(String peer, long number, String hash) {
        Claim known = claims.get(peer);
        if (known == null || hash.isEmpty() && known.number() == number) {
            return;
        }
        claims.put(peer, new Claim(number, hash));
    }

    /**
     * Excludes a peer that did not deliver its claimed revision until the given time or until its claim changes, so
     * that other peers and lower numbers are tried.
     */
    void markFailed(String peer, long untilMillis) {
        if (claims.containsKey(peer)) {
            failures.put(peer, new Failure(claims.get(peer), untilMillis));
        }
    }

    /** Removes the failures whose exclusion time has passed. */
    void expireFailures(long nowMillis) {
        failures.values().removeIf(failure -> failure.untilMillis() <= nowMillis);
    }

    /** Returns whether the link to the peer is up. */
    boolean isLinked(String peer) {
        return claims.containsKey(peer);
    }

    /** Returns the distinct hashes that peers claim for a number, as a new modifiable set. */
    Set<String> hashesOf(long number) {
        Set<String> hashes = new HashSet<>();
        for (Claim claim : claims.values()) {
            if (claim.number() == number && !claim.hash().isEmpty()) {
                hashes.add(claim.hash());
            }
        }
        return hashes;
    }

    /** Returns the numbers above a bound that are claimed by at least one peer that is not excluded. */
    Collection<Long> usableNumbersAbove(long bound) {
        Set<Long> numbers = new HashSet<>();
        claims.forEach((peer, claim) -> {
            if (claim.number() > bound && isUsable(peer, claim)) {
                numbers.add(claim.number());
            }
        });
        return numbers;
    }

    /** Returns the peers that claim a number and are not excluded, in the order in which their links came up. */
    List<String> usablePeersWith(long number) {
        return claims.entrySet().stream()
                .filter(entry -> entry.getValue().number() == number && isUsable(entry.getKey(), entry.getValue()))
                .map(Map.Entry::getKey)
                .toList();
    }

    private boolean isUsable(String peer, Claim claim) {
        Failure failure = failures.get(peer);
        return failure == null || !failure.claim().equals(claim);
    }

    /** Returns the peers whose latest claimed number is below the given one. */
    List<String> peersBelow(long number) {
        return claims.entrySet().stream()
                .filter(entry -> entry.getValue().number() < number)
                .map(Map.Entry::getKey)
                .toList();
    }
}
