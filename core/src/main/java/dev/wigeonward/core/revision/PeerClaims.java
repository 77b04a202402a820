package dev.wigeonward.core.revision;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What each linked peer last said about its revision. A claim on a lower number replaces a higher one of that peer. */
final class PeerClaims {
    private static final Claim NOTHING = new Claim(0, "");

    private final Map<String, Claim> claims = new LinkedHashMap<>();
    private final Map<String, Failure> failures = new LinkedHashMap<>();

    /** Number and hash in force at a peer; the hash is empty while it is unknown. */
    record Claim(long number, String hash) {}

    private record Failure(Claim claim, long untilMillis) {}

    void linkUp(String peer) {
        claims.putIfAbsent(peer, NOTHING);
    }

    void linkDown(String peer) {
        claims.remove(peer);
        failures.remove(peer);
    }

    /** Records a claim; messages that overtook the start or the end of the link are ignored. */
    void put(String peer, long number, String hash) {
        Claim known = claims.get(peer);
        if (known == null || hash.isEmpty() && known.number() == number) {
            return;
        }
        claims.put(peer, new Claim(number, hash));
    }

    /** Leaves a peer that did not deliver what it claims out for a while, so that other and lower claims are used. */
    void markFailed(String peer, long untilMillis) {
        if (claims.containsKey(peer)) {
            failures.put(peer, new Failure(claims.get(peer), untilMillis));
        }
    }

    void expireFailures(long nowMillis) {
        failures.values().removeIf(failure -> failure.untilMillis() <= nowMillis);
    }

    boolean isLinked(String peer) {
        return claims.containsKey(peer);
    }

    /** Returns the different hashes that peers claim for a number. */
    Set<String> hashesOf(long number) {
        Set<String> hashes = new HashSet<>();
        for (Claim claim : claims.values()) {
            if (claim.number() == number && !claim.hash().isEmpty()) {
                hashes.add(claim.hash());
            }
        }
        return hashes;
    }

    /** Returns the numbers above a bound that peers claim and have not failed to deliver. */
    Collection<Long> usableNumbersAbove(long bound) {
        Set<Long> numbers = new HashSet<>();
        claims.forEach((peer, claim) -> {
            if (claim.number() > bound && isUsable(peer, claim)) {
                numbers.add(claim.number());
            }
        });
        return numbers;
    }

    /** Returns the peers that may be asked for a number, in the order in which their links came up. */
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

    /** Returns the peers whose last claim is below a number. */
    List<String> peersBelow(long number) {
        return claims.entrySet().stream()
                .filter(entry -> entry.getValue().number() < number)
                .map(Map.Entry::getKey)
                .toList();
    }
}
