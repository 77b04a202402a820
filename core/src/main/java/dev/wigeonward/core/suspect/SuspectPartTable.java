package dev.wigeonward.core.suspect;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Stream;

import com.google.common.base.Preconditions;

/**
 * Table of the parts of prompts under which upstreams crashed. It infers which part is to blame, because each crash may
 * be due to any part of any request that was beginning on the upstream. Not thread-safe.
 *
 * <p>A part is refused for one version of the upstreams after three crashes at different times under at least two
 * different requests, if no answer to a request with the part has begun since, while answers to others have. A crash
 * does not count if a refused part with clearly more crashes may be to blame for it. After a refusal has ended, or if
 * another version refuses the part, one crash is enough. An answer to a request with the part refutes all
 * crashes before it.
 *
 * <p>Several parts may have been in the same crashed requests, so that the evidence on them is equal. A request that
 * contains only some of these parts is not refused: its answer, or its crash, tells them apart.
 *
 * <p>Tables of several processes exchange {@link SuspectPartFact}s.
 */
public final class SuspectPartTable {
    /** Largest number of stored parts; those with the fewest crashes are removed first, the oldest of them. */
    public static final int MAX_PARTS = 8_192;

    /** Largest number of parts of one request that are stored. */
    private static final int MAX_PARTS_PER_REQUEST = 512;

    private static final int MIN_CRASHES = 3;
    private static final int MIN_REQUESTS = 2;
    /** Difference in crashes from which on the evidence on the part with more of them is clearly stronger. */
    private static final int CLEAR_DIFFERENCE = 2;
    /** Number of crashes from which on other processes need to know that they are refuted. */
    private static final int MIN_CRASHES_TO_SHARE_REFUTATION = MIN_CRASHES - 1;
    /** Time after its last change at which a part is removed. */
    private static final long RETENTION_MILLIS = 1_200_000;

    private final int maxParts;
    private final SuspectPartListener listener;
    /** Suspect parts in the order in which they became suspect. */
    private final LinkedHashMap<SuspectPartKey, SuspectPart> parts = new LinkedHashMap<>();

    /** Keys that were refused and not cleared since, by part. */
    private final Map<Long, Set<SuspectPartKey>> refusedByPart = new HashMap<>();
    /** Parts with enough crashes, for which answers to other requests are still missing. */
    private final Set<SuspectPartKey> pending = new HashSet<>();
    /** Latest time at which an answer began, by version. */
    private final Map<String, Long> answerBeganMillis = new HashMap<>();

    private SuspectPartTable(int maxParts, SuspectPartListener listener) {
        Preconditions.checkArgument(maxParts > 0, "maxParts is %s, expected a positive number", maxParts);
        this.maxParts = maxParts;
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /** Returns an empty table for at most {@link #MAX_PARTS} parts. */
    public static SuspectPartTable create(SuspectPartListener listener) {
        return new SuspectPartTable(MAX_PARTS, listener);
    }

    /** Returns an empty table for at most the given number of parts. */
    public static SuspectPartTable withCapacity(int maxParts) {
        return new SuspectPartTable(maxParts, SuspectPartListener.NONE);
    }

    /** Returns the versions of upstreams that must not run a request whose prompt contains the given parts. */
    public Set<String> refusedVersions(Collection<Long> requestParts, long nowMillis) {
        Set<String> versions = new HashSet<>();
        refusing(requestParts, nowMillis)
                .forEach(suspect -> versions.add(suspect.key().version()));
        return versions;
    }

    /** Returns the time after which a request whose prompt contains the given parts is not refused any more. */
    public long refusedForMillis(Collection<Long> requestParts, long nowMillis) {
        return refusing(requestParts, nowMillis).stream()
                .mapToLong(suspect -> suspect.refusedForMillis(nowMillis))
                .max()
                .orElse(0);
    }

    /** Returns the suspect parts because of which a request is refused. */
    private List<SuspectPart> refusing(Collection<Long> requestParts, long nowMillis) {
        if (refusedByPart.isEmpty()) {
            return List.of();
        }
        List<SuspectPart> refusing = new ArrayList<>();
        for (long part : requestParts) {
            for (SuspectPartKey key : refusedByPart.getOrDefault(part, Set.of())) {
                SuspectPart suspect = parts.get(key);
                if (suspect.refusedAt(nowMillis) && !mayBeDueToAbsentPart(suspect, requestParts, nowMillis)) {
                    refusing.add(suspect);
                }
            }
        }
        return refusing;
    }

    /** Returns whether a refused part that the request does not contain explains the crashes about as well. */
    private boolean mayBeDueToAbsentPart(SuspectPart suspect, Collection<Long> requestParts, long nowMillis) {
        return refusedLike(suspect)
                .anyMatch(other -> other.refusedAt(nowMillis)
                        && !isClearlyStronger(suspect, other)
                        && other.sharedCrashCount(suspect) >= Math.min(MIN_CRASHES, suspect.crashCount())
                        && !requestParts.contains(other.key().part()));
    }

    /** Returns the other parts that were refused for the same version. */
    private Stream<SuspectPart> refusedLike(SuspectPart suspect) {
        return refusedByPart.values().stream()
                .flatMap(Set::stream)
                .filter(key -> key.version().equals(suspect.key().version()) && !key.equals(suspect.key()))
                .map(parts::get);
    }

    private static boolean isClearlyStronger(SuspectPart suspect, SuspectPart other) {
        return suspect.crashCount() >= other.crashCount() + CLEAR_DIFFERENCE;
    }

    /**
     * Records that an upstream ended while it began to answer a request. Returns the facts to send to peers.
     *
     * @param requestParts parts of the prompt of the request
     * @param version version of the upstream
     */
    public List<SuspectPartFact> onUpstreamCrashed(
            Collection<Long> requestParts, String version, UpstreamCrash crash, long nowMillis) {
        return mergeAll(
                requestParts.stream()
                        .distinct()
                        .limit(MAX_PARTS_PER_REQUEST)
                        .map(part ->
                                new SuspectPartFact(new SuspectPartKey(part, version), List.of(crash), Set.of(), 0, 0))
                        .toList(),
                nowMillis);
    }

    /**
     * Records that an upstream has got beyond the beginning of its answer to a request, which refutes that a part of
     * its prompt crashed upstreams before. Returns the facts to send to peers.
     *
     * @param beganAtMillis time at which the answer began
     */
    public List<SuspectPartFact> onAnswering(
            Collection<Long> requestParts, String version, long beganAtMillis, long nowMillis) {
        if (parts.isEmpty()) {
            return List.of();
        }
        List<SuspectPartFact> facts = new ArrayList<>();
        for (long part : requestParts) {
            SuspectPart suspect = parts.get(new SuspectPartKey(part, version));
            if (suspect == null) {
                continue;
            }
            boolean share = suspect.crashCount() >= MIN_CRASHES_TO_SHARE_REFUTATION;
            if (suspect.refuteBefore(beganAtMillis, nowMillis)) {
                clearIfRefuted(suspect);
                if (share) {
                    facts.add(suspect.toFact(nowMillis));
                }
            }
        }
        answerBeganMillis.merge(version, beganAtMillis, Math::max);
        for (SuspectPartKey key : List.copyOf(pending)) {
            if (refuseIfGuilty(parts.get(key), nowMillis)) {
                facts.add(parts.get(key).toFact(nowMillis));
            }
        }
        return facts;
    }

    /**
     * Merges facts received from a peer or from the store. Returns the resulting facts, to forward to other peers, as
     * far as the received ones contained anything new.
     */
    public List<SuspectPartFact> mergeAll(List<SuspectPartFact> facts, long nowMillis) {
        removeBeyondRetention(nowMillis);
        Set<SuspectPartKey> changed = new LinkedHashSet<>();
        facts.forEach(fact -> {
            if (addEvidence(fact, nowMillis)) {
                changed.add(fact.key());
            }
        });
        // The evidence on parts of the same request is compared, so that it has to be complete.
        facts.stream().filter(fact -> parts.containsKey(fact.key())).forEach(fact -> {
            if (updateRefusal(parts.get(fact.key()), fact, nowMillis)) {
                changed.add(fact.key());
            }
        });
        return changed.stream()
                .filter(parts::containsKey)
                .map(key -> parts.get(key).toFact(nowMillis))
                .toList();
    }

    private boolean addEvidence(SuspectPartFact fact, long nowMillis) {
        SuspectPart suspect = parts.computeIfAbsent(fact.key(), SuspectPart::new);
        boolean changed = false;
        for (String lifetime : fact.refutedLifetimes()) {
            changed |= suspect.refute(lifetime, nowMillis);
        }
        if (changed) {
            clearIfRefuted(suspect);
        }
        for (UpstreamCrash crash : fact.crashes()) {
            changed |= suspect.add(crash, nowMillis);
        }
        if (parts.size() > maxParts) {
            removeLeastSuspect(fact.key());
        }
        return changed;
    }

    private boolean updateRefusal(SuspectPart suspect, SuspectPartFact fact, long nowMillis) {
        if (suspect.crashCount() == 0) {
            return false;
        }
        boolean adopted = adoptRefusal(suspect, fact, nowMillis);
        return refuseIfGuilty(suspect, nowMillis) || adopted;
    }

    private boolean adoptRefusal(SuspectPart suspect, SuspectPartFact fact, long nowMillis) {
        boolean refusedBefore = suspect.refusedAt(nowMillis);
        boolean adopted = suspect.adoptRefusal(fact.refusals(), fact.refusedForMillis(), nowMillis);
        if (suspect.refusals() > 0) {
            onRefused(suspect);
        }
        if (adopted && !refusedBefore) {
            listener.onRefused(suspect.toFact(nowMillis));
        }
        return adopted;
    }

    private boolean refuseIfGuilty(SuspectPart suspect, long nowMillis) {
        SuspectPartKey key = suspect.key();
        if (suspect.refusedAt(nowMillis)) {
            return false;
        }
        List<SuspectPart> stronger = refusedLike(suspect)
                .filter(other -> isClearlyStronger(other, suspect))
                .toList();
        SuspectPart.Evidence evidence =
                suspect.evidence(lifetime -> stronger.stream().anyMatch(other -> other.hasCrash(lifetime)), nowMillis);
        boolean refusedBefore = refusedByPart.containsKey(key.part());
        boolean enough = evidence.independentCrashes() >= (refusedBefore ? 1 : MIN_CRASHES)
                && evidence.requests() >= (refusedBefore ? 1 : MIN_REQUESTS);
        boolean othersAnswered =
                answerBeganMillis.getOrDefault(key.version(), Long.MIN_VALUE) > evidence.firstAtMillis();
        if (!enough || !othersAnswered) {
            if (enough) {
                pending.add(key);
            } else {
                pending.remove(key);
            }
            return false;
        }
        suspect.refuse(nowMillis);
        onRefused(suspect);
        listener.onRefused(suspect.toFact(nowMillis));
        return true;
    }

    private void onRefused(SuspectPart suspect) {
        pending.remove(suspect.key());
        refusedByPart
                .computeIfAbsent(suspect.key().part(), part -> new HashSet<>())
                .add(suspect.key());
    }

    private void clearIfRefuted(SuspectPart suspect) {
        if (suspect.refusals() == 0 || suspect.crashCount() >= MIN_CRASHES) {
            return;
        }
        suspect.clear();
        removeRefused(suspect.key());
        listener.onCleared(suspect.key());
    }

    private void removeRefused(SuspectPartKey key) {
        refusedByPart.computeIfPresent(key.part(), (part, keys) -> {
            keys.remove(key);
            return keys.isEmpty() ? null : keys;
        });
    }

    /** Returns what is known of all suspect parts, for a peer that has just connected. */
    public List<SuspectPartFact> facts(long nowMillis) {
        return parts.values().stream()
                .filter(suspect -> suspect.crashCount() > 0)
                .map(suspect -> suspect.toFact(nowMillis))
                .toList();
    }

    /**
     * Returns what is known of the parts that were refused and not cleared since, for a process that starts without any
     * knowledge.
     */
    public List<SuspectPartFact> refusedFacts(long nowMillis) {
        return parts.values().stream()
                .filter(suspect -> suspect.refusals() > 0)
                .map(suspect -> suspect.toFact(nowMillis))
                .toList();
    }

    /** Returns the number of stored parts. */
    public int size() {
        return parts.size();
    }

    private void removeBeyondRetention(long nowMillis) {
        if (parts.isEmpty()) {
            return;
        }
        SuspectPart oldest = parts.values().iterator().next();
        while (oldest != null && nowMillis - oldest.changedAtMillis() >= RETENTION_MILLIS) {
            remove(oldest.key());
            oldest = parts.isEmpty() ? null : parts.values().iterator().next();
        }
    }

    private void removeLeastSuspect(SuspectPartKey exceptKey) {
        SuspectPart least = null;
        for (SuspectPart candidate : parts.values()) {
            boolean fewer = least == null || candidate.crashCount() < least.crashCount();
            if (fewer && candidate.refusals() == 0 && !candidate.key().equals(exceptKey)) {
                least = candidate;
            }
            if (least != null && least.crashCount() <= 1) {
                break;
            }
        }
        SuspectPartKey oldest = parts.keySet().iterator().next();
        remove(least == null ? oldest : least.key());
    }

    private void remove(SuspectPartKey key) {
        parts.remove(key);
        pending.remove(key);
        removeRefused(key);
    }
}
