package dev.wigeonward.core.suspect;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** Evidence on one part of prompts with one version of the upstreams. */
final class SuspectPart {
    /** Largest number of stored crashes; more would not change a decision. */
    private static final int MAX_CRASHES = 8;
    /** Largest number of stored lifetimes whose crash is refuted; the oldest are removed first. */
    private static final int MAX_REFUTED = 32;
    /** Upstreams that end within this time of each other may have a common cause, so that they count as one. */
    private static final long MIN_CRASH_DISTANCE_MILLIS = 250;
    /** Time for which a crash counts as evidence. */
    private static final long CRASH_LIFETIME_MILLIS = 600_000;
    /** Duration of the first refusal; each further one lasts twice as long. */
    private static final long FIRST_REFUSAL_MILLIS = 60_000;

    private static final long MAX_REFUSAL_MILLIS = 600_000;
    /** Difference up to which the restriction of another process counts as the same. */
    private static final long REFUSAL_TOLERANCE_MILLIS = 5_000;

    /** Time in the past from which differences do not overflow. */
    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final SuspectPartKey key;
    private final Map<String, Crash> crashes = new HashMap<>();
    private final LinkedHashSet<String> refuted = new LinkedHashSet<>();
    private int refusals;
    private long refusedUntilMillis = NEVER_MILLIS;
    private long changedAtMillis;

    SuspectPart(SuspectPartKey key) {
        this.key = key;
    }

    SuspectPartKey key() {
        return key;
    }

    int refusals() {
        return refusals;
    }

    long changedAtMillis() {
        return changedAtMillis;
    }

    int crashCount() {
        return crashes.size();
    }

    boolean hasCrash(String lifetime) {
        return crashes.containsKey(lifetime);
    }

    /** Returns the number of crashes that may be due to this part or to the other one. */
    int sharedCrashCount(SuspectPart other) {
        return (int) crashes.keySet().stream().filter(other::hasCrash).count();
    }

    boolean refusedAt(long nowMillis) {
        return nowMillis < refusedUntilMillis;
    }

    long refusedForMillis(long nowMillis) {
        return Math.max(0, refusedUntilMillis - nowMillis);
    }

    /** Adds a crash and returns whether it is new. */
    boolean add(UpstreamCrash crash, long nowMillis) {
        long endedAtMillis = nowMillis - crash.ageMillis();
        if (refuted.contains(crash.upstreamLifetime()) || crash.ageMillis() >= CRASH_LIFETIME_MILLIS) {
            return false;
        }
        Crash known = crashes.get(crash.upstreamLifetime());
        if (known != null) {
            return false;
        }
        crashes.put(crash.upstreamLifetime(), new Crash(crash.fingerprint(), endedAtMillis));
        if (crashes.size() > MAX_CRASHES) {
            crashes.entrySet().stream()
                    .min(Comparator.comparingLong(entry -> entry.getValue().endedAtMillis))
                    .ifPresent(oldest -> crashes.remove(oldest.getKey()));
        }
        changedAtMillis = nowMillis;
        return true;
    }

    /** Refutes the crash of one lifetime and returns whether this is new. */
    boolean refute(String lifetime, long nowMillis) {
        if (!refuted.add(lifetime)) {
            return false;
        }
        crashes.remove(lifetime);
        if (refuted.size() > MAX_REFUTED) {
            Iterator<String> oldestFirst = refuted.iterator();
            oldestFirst.next();
            oldestFirst.remove();
        }
        changedAtMillis = nowMillis;
        return true;
    }

    /** Refutes all crashes before an answer began, and returns whether there were any. */
    boolean refuteBefore(long beganAtMillis, long nowMillis) {
        List<String> earlier = new ArrayList<>();
        crashes.forEach((lifetime, crash) -> {
            if (crash.endedAtMillis < beganAtMillis) {
                earlier.add(lifetime);
            }
        });
        earlier.forEach(lifetime -> refute(lifetime, nowMillis));
        return !earlier.isEmpty();
    }

    /** Returns the crashes that count since the end of the last refusal, without those that have another cause. */
    Evidence evidence(Predicate<String> hasOtherCause, long nowMillis) {
        List<Crash> counted = crashes.entrySet().stream()
                .filter(entry -> !hasOtherCause.test(entry.getKey()))
                .map(Map.Entry::getValue)
                .filter(crash -> nowMillis - crash.endedAtMillis < CRASH_LIFETIME_MILLIS)
                .filter(crash -> crash.endedAtMillis > refusedUntilMillis)
                .sorted(Comparator.comparingLong(crash -> crash.endedAtMillis))
                .toList();
        Set<Long> requests = new HashSet<>();
        int independent = 0;
        long countedAtMillis = 0;
        for (Crash crash : counted) {
            requests.add(crash.fingerprint);
            if (independent == 0 || crash.endedAtMillis - countedAtMillis >= MIN_CRASH_DISTANCE_MILLIS) {
                independent++;
                countedAtMillis = crash.endedAtMillis;
            }
        }
        return new Evidence(independent, requests.size(), counted.isEmpty() ? 0 : counted.get(0).endedAtMillis);
    }

    /** Starts to refuse requests with the part. */
    void refuse(long nowMillis) {
        long durationMillis = FIRST_REFUSAL_MILLIS;
        for (int earlier = 0; earlier < refusals && durationMillis < MAX_REFUSAL_MILLIS; earlier++) {
            durationMillis *= 2;
        }
        refusals++;
        refusedUntilMillis = nowMillis + Math.min(MAX_REFUSAL_MILLIS, durationMillis);
        changedAtMillis = nowMillis;
    }

    /** Adopts the restriction of another process and returns whether it ends later than the known one. */
    boolean adoptRefusal(int otherRefusals, long refusedForMillis, long nowMillis) {
        refusals = Math.max(refusals, otherRefusals);
        long untilMillis = nowMillis + Math.min(MAX_REFUSAL_MILLIS, refusedForMillis);
        // Without a tolerance, processes would forward the same restriction to each other because of its way.
        if (refusedForMillis == 0 || untilMillis - refusedUntilMillis <= REFUSAL_TOLERANCE_MILLIS) {
            return false;
        }
        refusedUntilMillis = untilMillis;
        changedAtMillis = nowMillis;
        return true;
    }

    /** Ends the refusal of requests with the part and forgets earlier ones. */
    void clear() {
        refusals = 0;
        refusedUntilMillis = NEVER_MILLIS;
    }

    SuspectPartFact toFact(long nowMillis) {
        List<UpstreamCrash> all = new ArrayList<>();
        crashes.forEach((lifetime, crash) ->
                all.add(new UpstreamCrash(lifetime, crash.fingerprint, Math.max(0, nowMillis - crash.endedAtMillis))));
        return new SuspectPartFact(key, all, refuted, refusals, refusedForMillis(nowMillis));
    }

    /**
     * Crashes that may be due to a part.
     *
     * @param independentCrashes number of crashes at different times
     * @param requests number of different requests with the part
     * @param firstAtMillis time of the first of these crashes
     */
    record Evidence(int independentCrashes, int requests, long firstAtMillis) {}

    private record Crash(long fingerprint, long endedAtMillis) {}
}
