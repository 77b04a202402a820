package dev.wigeonward.core.suspect;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import com.google.common.base.Preconditions;

/**
 * Requests that were running when upstreams died. Tables of several processes merge as a set union, so the order and
 * repetition of merges do not matter. Not thread-safe.
 *
 * <p>If the deaths of a request's first runs reach every process before its run after next is dispatched, at most three
 * upstreams die of it; each further run dispatched before the news arrives adds one.
 */
public final class SuspectTable {
    /** Most fingerprints kept; those with the oldest additions leave first. */
    public static final int MAX_FINGERPRINTS = 65_536;

    /** Time after the last addition during which a fact counts, in milliseconds. */
    public static final long SUSPECT_MILLIS = 600_000;

    /** Deaths from which on a request is refused. */
    static final int REFUSED_FROM = 2;

    /** A set larger than this refuses just as well; the bound keeps a faulty peer from filling the memory. */
    static final int MAX_INCARNATIONS = 8;

    /**
     * Expired facts are remembered for as long again. A peer that learned a fact later still sends it after it expired
     * here, and taking it as new would keep it alive between the two for good.
     */
    private static final long REMEMBERED_MILLIS = 2 * SUSPECT_MILLIS;

    private final int maxFingerprints;
    /** In the order of the last additions. */
    private final LinkedHashMap<Long, Suspect> suspects = new LinkedHashMap<>();

    private final Map<Long, Integer> running = new HashMap<>();

    private SuspectTable(int maxFingerprints) {
        Preconditions.checkArgument(maxFingerprints > 0, "maxFingerprints is %s", maxFingerprints);
        this.maxFingerprints = maxFingerprints;
    }

    /** Returns an empty table for {@link #MAX_FINGERPRINTS} fingerprints. */
    public static SuspectTable create() {
        return new SuspectTable(MAX_FINGERPRINTS);
    }

    /** Returns an empty table for at most {@code maxFingerprints} fingerprints. */
    public static SuspectTable withCapacity(int maxFingerprints) {
        return new SuspectTable(maxFingerprints);
    }

    /** Returns what the known deaths allow for a request. */
    public Suspicion suspicion(long fingerprint, long nowMillis) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect == null || !suspect.countsAt(nowMillis)) {
            return Suspicion.NONE;
        }
        return suspect.incarnations.size() >= REFUSED_FROM ? Suspicion.REFUSED : Suspicion.ONE_AT_A_TIME;
    }

    /** Returns whether the request may be dispatched now; while false and not refused, it waits for its other copy. */
    public boolean mayDispatch(long fingerprint, long nowMillis) {
        return switch (suspicion(fingerprint, nowMillis)) {
            case NONE -> true;
            case ONE_AT_A_TIME -> !running.containsKey(fingerprint);
            case REFUSED -> false;
        };
    }

    /** Counts a dispatch. Every dispatch is counted, because its fingerprint may become suspect while it runs. */
    public void onDispatched(long fingerprint) {
        running.merge(fingerprint, 1, Integer::sum);
    }

    /** Counts the end of a dispatch, whatever its outcome. */
    public void onEnded(long fingerprint) {
        Preconditions.checkState(
                running.containsKey(fingerprint), "no dispatch outstanding for fingerprint %s", fingerprint);
        running.computeIfPresent(fingerprint, (key, count) -> count == 1 ? null : count - 1);
    }

    /** Records that an upstream died while the request ran; returns the fact to send to peers, or empty if known. */
    public Optional<SuspectFact> onUpstreamDied(long fingerprint, String upstreamIncarnation, long nowMillis) {
        return merge(new SuspectFact(fingerprint, Set.of(upstreamIncarnation)), nowMillis);
    }

    /**
     * Adds what a peer knows; returns the fact with all known incarnations to send on to other peers, or empty if
     * nothing was new.
     */
    public Optional<SuspectFact> merge(SuspectFact fact, long nowMillis) {
        removeForgotten(nowMillis);
        Suspect suspect = suspects.get(fact.fingerprint());
        boolean counts = suspect != null && suspect.countsAt(nowMillis);
        Set<String> known = counts ? suspect.incarnations : Set.of();
        Set<String> expired = suspect == null ? Set.of() : counts ? suspect.expired : suspect.allIncarnations();
        Set<String> union = new TreeSet<>(known);
        for (String incarnation : new TreeSet<>(fact.upstreamIncarnations())) {
            if (union.size() < MAX_INCARNATIONS && !expired.contains(incarnation)) {
                union.add(incarnation);
            }
        }
        if (union.size() == known.size()) {
            return Optional.empty();
        }
        suspects.remove(fact.fingerprint());
        suspects.put(fact.fingerprint(), new Suspect(Set.copyOf(union), expired, nowMillis));
        if (suspects.size() > maxFingerprints) {
            removeOldest();
        }
        return Optional.of(new SuspectFact(fact.fingerprint(), union));
    }

    /** Returns the facts that count now, for a peer that has just linked; takes time linear in their number. */
    public List<SuspectFact> facts(long nowMillis) {
        return suspects.entrySet().stream()
                .filter(entry -> entry.getValue().countsAt(nowMillis))
                .map(entry -> new SuspectFact(entry.getKey(), entry.getValue().incarnations))
                .toList();
    }

    /** Returns the number of fingerprints kept, including expired ones that are still remembered. */
    public int size() {
        return suspects.size();
    }

    private void removeForgotten(long nowMillis) {
        Iterator<Suspect> oldestFirst = suspects.values().iterator();
        while (oldestFirst.hasNext() && oldestFirst.next().addedAtMillis <= nowMillis - REMEMBERED_MILLIS) {
            oldestFirst.remove();
        }
    }

    private void removeOldest() {
        Iterator<Long> oldestFirst = suspects.keySet().iterator();
        oldestFirst.next();
        oldestFirst.remove();
    }

    private record Suspect(Set<String> incarnations, Set<String> expired, long addedAtMillis) {
        private Set<String> allIncarnations() {
            Set<String> all = new TreeSet<>(incarnations);
            expired.stream().limit(MAX_INCARNATIONS).forEach(all::add);
            return Set.copyOf(all);
        }

        private boolean countsAt(long nowMillis) {
            return nowMillis - addedAtMillis < SUSPECT_MILLIS;
        }
    }
}
