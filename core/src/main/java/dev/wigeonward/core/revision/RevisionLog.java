package dev.wigeonward.core.revision;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import com.google.common.base.Preconditions;

/** The revision in force in one process and recent earlier ones, from which deltas are computed. Not thread-safe. */
public final class RevisionLog {
    /** Default number of revisions kept; at 5,900 changes a day, 16 revisions cover about 4 minutes. */
    public static final int DEFAULT_MAX_REVISIONS = 16;
    /** Default number of text characters kept: 4 texts of maximum size, within the 64 MB for a node's control state. */
    public static final long DEFAULT_MAX_TEXT_CHARS = 4_000_000;

    private final AdoptionRules rules;
    private final int maxRevisions;
    private final long maxTextChars;
    private final Deque<Revision> newestFirst = new ArrayDeque<>();
    private final Map<Long, RevisionDelta> deltas = new HashMap<>();
    private long textChars;

    private RevisionLog(AdoptionRules rules, int maxRevisions, long maxTextChars) {
        Preconditions.checkArgument(maxRevisions > 0, "maxRevisions must be positive, got %s", maxRevisions);
        this.rules = rules;
        this.maxRevisions = maxRevisions;
        this.maxTextChars = maxTextChars;
    }

    /** Returns an empty log that keeps the revision in force and as many earlier ones as fit within both bounds. */
    public static RevisionLog create(int maxRevisions, long maxTextChars) {
        return withRules(AdoptionRules.STANDARD, maxRevisions, maxTextChars);
    }

    /** Returns an empty log that adopts by the given rules. */
    static RevisionLog withRules(AdoptionRules rules, int maxRevisions, long maxTextChars) {
        return new RevisionLog(rules, maxRevisions, maxTextChars);
    }

    /** Adopts the candidate if its number is higher than the one in force and its hash matches its text. */
    public AdoptionResult adopt(Revision candidate) {
        if (!rules.isHigher(number(), candidate.number())) {
            boolean differentHash =
                    candidate.number() == number() && !candidate.hash().equals(hash());
            return differentHash ? new AdoptionResult.DifferentHash(hash()) : new AdoptionResult.NotHigher(number());
        }
        if (!rules.hasMatchingHash(candidate)) {
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

    /** Returns the number of the revision in force, or 0 before the first adoption. */
    public long number() {
        return newestFirst.isEmpty() ? 0 : newestFirst.getFirst().number();
    }

    /** Returns the hash of the revision in force, or an empty string before the first adoption. */
    public String hash() {
        return newestFirst.isEmpty() ? "" : newestFirst.getFirst().hash();
    }

    /**
     * Returns the delta from a kept revision to the one in force, or empty if that revision is not kept. The delta is
     * cached until the next adoption, since many peers request it from the same revision.
     */
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
