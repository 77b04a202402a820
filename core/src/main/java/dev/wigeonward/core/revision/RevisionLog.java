package dev.wigeonward.core.revision;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import com.google.common.base.Preconditions;

/** The revision in force in one process and the ones before it, kept to make deltas. Not thread-safe. */
public final class RevisionLog {
    /** Revisions kept by default; at 5,900 changes a day 16 of them cover about 4 minutes. */
    public static final int DEFAULT_MAX_REVISIONS = 16;
    /** Characters of text kept by default; 4 texts of the largest size, out of 64 MB for a node's control state. */
    public static final long DEFAULT_MAX_TEXT_CHARS = 4_000_000;

    private final AdoptionRules rules;
    private final int maxRevisions;
    private final long maxTextChars;
    private final Deque<Revision> newestFirst = new ArrayDeque<>();
    private final Map<Long, RevisionDelta> deltas = new HashMap<>();
    private long textChars;

    private RevisionLog(AdoptionRules rules, int maxRevisions, long maxTextChars) {
        Preconditions.checkArgument(maxRevisions > 0, "maxRevisions is %s", maxRevisions);
        this.rules = rules;
        this.maxRevisions = maxRevisions;
        this.maxTextChars = maxTextChars;
    }

    /** Returns an empty log that keeps the revision in force and older ones up to both bounds. */
    public static RevisionLog create(int maxRevisions, long maxTextChars) {
        return withRules(AdoptionRules.STANDARD, maxRevisions, maxTextChars);
    }

    static RevisionLog withRules(AdoptionRules rules, int maxRevisions, long maxTextChars) {
        return new RevisionLog(rules, maxRevisions, maxTextChars);
    }

    /** Puts the revision in force if its number is higher and its hash verifies; returns what was decided. */
    public AdoptionResult adopt(Revision candidate) {
        if (!rules.isHigher(number(), candidate.number())) {
            boolean otherHash =
                    candidate.number() == number() && !candidate.hash().equals(hash());
            return otherHash ? new AdoptionResult.OtherHash(hash()) : new AdoptionResult.NotHigher(number());
        }
        if (!rules.verifies(candidate)) {
            return new AdoptionResult.HashMismatch();
        }
        deltas.clear();
        newestFirst.addFirst(candidate);
        textChars += candidate.text().length();
        while (newestFirst.size() > 1 && (newestFirst.size() > maxRevisions || textChars > maxTextChars)) {
            textChars -= newestFirst.removeLast().text().length();
        }
        return new AdoptionResult.Adopted(candidate);
    }

    /** Returns the revision in force, or empty before the first adoption. */
    public Optional<Revision> current() {
        return Optional.ofNullable(newestFirst.peekFirst());
    }

    /** Returns the number in force, 0 before the first adoption. */
    public long number() {
        return newestFirst.isEmpty() ? 0 : newestFirst.getFirst().number();
    }

    /** Returns the hash in force, empty before the first adoption. */
    public String hash() {
        return newestFirst.isEmpty() ? "" : newestFirst.getFirst().hash();
    }

    /** Returns the lines changed since a kept revision; made once for all peers that have the same revision. */
    public Optional<RevisionDelta> deltaFrom(long fromNumber, String fromHash) {
        for (Revision base : newestFirst) {
            if (base.number() == fromNumber && base.hash().equals(fromHash)) {
                return Optional.of(deltas.computeIfAbsent(
                        fromNumber, number -> RevisionDelta.between(base, newestFirst.getFirst())));
            }
        }
        return Optional.empty();
    }
}
