package dev.wigeonward.core.coordination;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

import com.google.common.base.Preconditions;
import com.google.common.hash.Hashing;

/**
 * Choice of the coordinator of each service by weighted rendezvous hashing over the entries that are heard. Entries
 * that hear the same others choose the same coordinator without any message. Not thread-safe.
 */
public final class CoordinatorChoice {
    /** Age of the last state above which an entry does not count as heard. */
    static final long MAX_SILENCE_MILLIS = 1_500;

    private static final int DISCARDED_BITS = 11;
    private static final double SCALE = 0x1.0p-53;

    private final String self;
    private final Map<String, Candidate> candidates = new HashMap<>();
    private final Map<String, String> chosen = new HashMap<>();
    private double ownWeight;

    private CoordinatorChoice(String self, double ownWeight) {
        this.self = self;
        this.ownWeight = ownWeight;
    }

    /** Returns a choice in which only this entry is heard. */
    public static CoordinatorChoice create(String self, double weight) {
        Preconditions.checkArgument(weight > 0, "weight is %s, expected a positive number", weight);
        return new CoordinatorChoice(self, weight);
    }

    /** Records that a state of an entry was heard; an entry of weight 0 does not coordinate. */
    void onHeard(String entry, double weight, long nowMillis) {
        if (weight <= 0) {
            forget(entry);
            return;
        }
        Candidate previous = candidates.put(entry, new Candidate(weight, nowMillis));
        if (previous == null || previous.weight != weight) {
            chosen.clear();
        }
    }

    /** Records that an entry was heard, if its weight is known. */
    void onHeardAgain(String entry, long nowMillis) {
        candidates.computeIfPresent(entry, (name, known) -> new Candidate(known.weight, nowMillis));
    }

    void forget(String entry) {
        if (candidates.remove(entry) != null) {
            chosen.clear();
        }
    }

    /** Removes the entries that have been silent for too long. */
    void removeSilent(long nowMillis) {
        if (candidates.values().removeIf(each -> nowMillis - each.heardAtMillis >= MAX_SILENCE_MILLIS)) {
            chosen.clear();
        }
    }

    /** Returns the coordinator of the service, which may be this entry. */
    String coordinator(String service) {
        String known = chosen.get(service);
        if (known == null) {
            known = choose(service);
            chosen.put(service, known);
        }
        return known;
    }

    private String choose(String service) {
        String best = self;
        double bestScore = score(service, self, ownWeight);
        for (Map.Entry<String, Candidate> candidate : candidates.entrySet()) {
            double score = score(service, candidate.getKey(), candidate.getValue().weight);
            if (score > bestScore || score == bestScore && candidate.getKey().compareTo(best) < 0) {
                best = candidate.getKey();
                bestScore = score;
            }
        }
        return best;
    }

    /** Returns the score of weighted rendezvous hashing, with which an entry wins in proportion to its weight. */
    private static double score(String service, String entry, double weight) {
        long hash = Hashing.murmur3_128()
                .newHasher()
                .putString(service, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(entry, StandardCharsets.UTF_8)
                .hash()
                .asLong();
        double fraction = ((hash >>> DISCARDED_BITS) + 1) * SCALE;
        return -weight / Math.log(fraction);
    }

    private record Candidate(double weight, long heardAtMillis) {}
}
