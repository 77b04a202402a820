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
 * Table of requests that were running when upstreams died. Tables of several processes merge as a set union, so the
 * order and repetition of merges do not matter. Not thread-safe.
 *
 * <p>A request crashes at most three upstreams if every process learns of each death before the run after the next one
 * is dispatched. Each further run that is dispatched before the fact arrives adds one.
 */
public final class SuspectTable {
    /** Largest number of stored fingerprints; those with the oldest last additions are removed first. */
    public static final int MAX_FINGERPRINTS = 65_536;

    /** Time for which a fact is active after its last addition, in milliseconds. */
    public static final long FACT_LIFETIME_MILLIS = 600_000;

    /** Number of deaths from which on a request is refused. */
    private static final int MIN_DEATHS_TO_REFUSE = 2;

    /**
     * Largest number of incarnations stored for a fingerprint. More would not change the decision, and without a limit
     * a faulty peer could fill the memory.
     */
    private static final int MAX_INCARNATIONS = 8;

    /**
     * Time after the last addition at which an expired fact is removed, in milliseconds. A peer that learned the fact
     * later still sends it after it expired here; if it were then merged as new, the two would renew it forever.
     */
    private static final long RETENTION_MILLIS = 2 * FACT_LIFETIME_MILLIS;

    private final int maxFingerprints;
    /** Suspects by fingerprint, in the order of their last additions. */
    private final LinkedHashMap<Long, Suspect> suspects = new LinkedHashMap<>();

    /** Number of dispatches in progress by fingerprint. */
    private final Map<Long, Integer> dispatches = new HashMap<>();

    private SuspectTable(int maxFingerprints) {
        Preconditions.checkArgument(
                maxFingerprints > 0, "maxFingerprints must be positive, but is %s", maxFingerprints);
        this.maxFingerprints = maxFingerprints;
    }

    /** Returns an empty table for at most {@link #MAX_FINGERPRINTS} fingerprints. */
    public static SuspectTable create() {
        return new SuspectTable(MAX_FINGERPRINTS);
    }

    /** Returns an empty table for at most {@code maxFingerprints} fingerprints. */
    public static SuspectTable withCapacity(int maxFingerprints) {
        return new SuspectTable(maxFingerprints);
    }

    /** Returns the restriction on a request that follows from the known deaths. */
    public SuspectRestriction restriction(long fingerprint, long nowMillis) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect == null || !suspect.activeAt(nowMillis)) {
            return SuspectRestriction.NONE;
        }
        return suspect.incarnations.size() >= MIN_DEATHS_TO_REFUSE
                ? SuspectRestriction.REFUSED
                : SuspectRestriction.ONE_AT_A_TIME;
    }

    /** Returns the time for which the request is still restricted, 0 if it is not. */
    public long restrictedForMillis(long fingerprint, long nowMillis) {
        Suspect suspect = suspects.get(fingerprint);
        return suspect == null ? 0 : Math.max(0, suspect.addedAtMillis + FACT_LIFETIME_MILLIS - nowMillis);
    }

    /**
     * Returns whether the request may be dispatched now. One that is not refused may be, once its other copy has ended.
     */
    public boolean mayDispatch(long fingerprint, long nowMillis) {
        return switch (restriction(fingerprint, nowMillis)) {
            case NONE -> true;
            case ONE_AT_A_TIME -> !dispatches.containsKey(fingerprint);
            case REFUSED -> false;
        };
    }

    /** Records a dispatch. Every dispatch is recorded, because its fingerprint may become suspect while it runs. */
    public void recordDispatch(long fingerprint) {
        dispatches.merge(fingerprint, 1, Integer::sum);
    }

    /** Records the end of a dispatch, whatever its outcome. */
    public void recordEnd(long fingerprint) {
        Preconditions.checkState(
                dispatches.containsKey(fingerprint), "fingerprint %s has no dispatch that could end", fingerprint);
        dispatches.computeIfPresent(fingerprint, (key, count) -> count == 1 ? null : count - 1);
    }

    /**
     * Records that an upstream died while the request ran. Returns the fact to send to peers, or empty if the death was
     * known.
     */
    public Optional<SuspectFact> onUpstreamDied(long fingerprint, String upstreamIncarnation, long nowMillis) {
        return merge(new SuspectFact(fingerprint, Set.of(upstreamIncarnation)), nowMillis);
    }

    /**
     * Merges a fact received from a peer. Returns the fact with all known incarnations, to forward to other peers, or
     * empty if the received fact contained nothing new.
     */
    public Optional<SuspectFact> merge(SuspectFact fact, long nowMillis) {
        removeBeyondRetention(nowMillis);
        Suspect suspect = suspects.get(fact.fingerprint());
        boolean active = suspect != null && suspect.activeAt(nowMillis);
        Set<String> known = active ? suspect.incarnations : Set.of();
        Set<String> expired = suspect == null ? Set.of() : active ? suspect.expired : suspect.allIncarnations();
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

    /** Returns the active facts, for a peer that has just connected, in time linear in the size of the table. */
    public List<SuspectFact> activeFacts(long nowMillis) {
        return suspects.entrySet().stream()
                .filter(entry -> entry.getValue().activeAt(nowMillis))
                .map(entry -> new SuspectFact(entry.getKey(), entry.getValue().incarnations))
                .toList();
    }

    /** Returns the number of stored fingerprints, including expired ones. */
    public int size() {
        return suspects.size();
    }

    private void removeBeyondRetention(long nowMillis) {
        Iterator<Suspect> oldestFirst = suspects.values().iterator();
        while (oldestFirst.hasNext() && oldestFirst.next().addedAtMillis <= nowMillis - RETENTION_MILLIS) {
            oldestFirst.remove();
        }
    }

    private void removeOldest() {
        Iterator<Long> oldestFirst = suspects.keySet().iterator();
        oldestFirst.next();
        oldestFirst.remove();
    }

    /**
     * A suspect request.
     *
     * @param incarnations incarnations that count until the fact expires
     * @param expired incarnations of an earlier fact that expired, which are not merged again
     * @param addedAtMillis time of the last addition
     */
    private record Suspect(Set<String> incarnations, Set<String> expired, long addedAtMillis) {
        private Set<String> allIncarnations() {
            Set<String> all = new TreeSet<>(incarnations);
            expired.stream().limit(MAX_INCARNATIONS).forEach(all::add);
            return Set.copyOf(all);
        }

        private boolean activeAt(long nowMillis) {
            return nowMillis - addedAtMillis < FACT_LIFETIME_MILLIS;
        }
    }
}
