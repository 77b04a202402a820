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
    private static final ReportedRevision NO_REVISION = new ReportedRevision(0, "");

    private final Map<String, ReportedRevision> reportedRevisions = new LinkedHashMap<>();
    private final Map<String, Failure> failures = new LinkedHashMap<>();

    /** Number and hash of the revision in force at a peer; the hash is empty while it is unknown. */
    record ReportedRevision(long number, String hash) {}

    /** A revision that a peer reported but failed to deliver; the peer is not asked for it until the given time. */
    private record Failure(ReportedRevision revision, long untilMillis) {}

    /** Adds a peer; a known peer keeps its reported revision. */
    void linkUp(String peer) {
        reportedRevisions.putIfAbsent(peer, NO_REVISION);
    }

    /** Removes a peer with its reported revision and its failure. */
    void linkDown(String peer) {
        reportedRevisions.remove(peer);
        failures.remove(peer);
    }

    /**
     * Replaces the reported revision of a peer. Reports of unlinked peers are ignored, since a message may be handled
     * before its link is up or after it is down. A report without a hash does not replace one with the same number.
     */
    void put(String peer, long number, String hash) {
        ReportedRevision known = reportedRevisions.get(peer);
        if (known == null || hash.isEmpty() && known.number() == number) {
            return;
        }
        reportedRevisions.put(peer, new ReportedRevision(number, hash));
    }

    /**
     * Excludes a peer that did not deliver its reported revision until the given time or until it reports another, so
     * that other peers and lower numbers are tried.
     */
    void markFailed(String peer, long untilMillis) {
        if (reportedRevisions.containsKey(peer)) {
            failures.put(peer, new Failure(reportedRevisions.get(peer), untilMillis));
        }
    }

    /** Removes the failures whose exclusion time has passed. */
    void expireFailures(long nowMillis) {
        failures.values().removeIf(failure -> failure.untilMillis() <= nowMillis);
    }

    /** Returns whether the link to the peer is up. */
    boolean isLinked(String peer) {
        return reportedRevisions.containsKey(peer);
    }

    /** Returns the distinct hashes that peers report for a number, as a new modifiable set. */
    Set<String> hashesOf(long number) {
        Set<String> hashes = new HashSet<>();
        for (ReportedRevision reported : reportedRevisions.values()) {
            if (reported.number() == number && !reported.hash().isEmpty()) {
                hashes.add(reported.hash());
            }
        }
        return hashes;
    }

    /** Returns the numbers above a bound that are reported by at least one peer that is not excluded. */
    Collection<Long> usableNumbersAbove(long bound) {
        Set<Long> numbers = new HashSet<>();
        reportedRevisions.forEach((peer, reported) -> {
            if (reported.number() > bound && isUsable(peer, reported)) {
                numbers.add(reported.number());
            }
        });
        return numbers;
    }

    /** Returns the peers that report a number and are not excluded, in the order in which their links came up. */
    List<String> usablePeersWith(long number) {
        return reportedRevisions.entrySet().stream()
                .filter(entry -> entry.getValue().number() == number && isUsable(entry.getKey(), entry.getValue()))
                .map(Map.Entry::getKey)
                .toList();
    }

    private boolean isUsable(String peer, ReportedRevision reported) {
        Failure failure = failures.get(peer);
        return failure == null || !failure.revision().equals(reported);
    }

    /** Returns the peers whose latest reported number is below the given one. */
    List<String> peersBelow(long number) {
        return reportedRevisions.entrySet().stream()
                .filter(entry -> entry.getValue().number() < number)
                .map(Map.Entry::getKey)
                .toList();
    }
}
