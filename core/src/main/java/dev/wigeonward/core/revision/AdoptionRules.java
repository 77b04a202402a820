package dev.wigeonward.core.revision;

/**
 * Checks that prevent the adoption of a wrong revision. Tests override single checks to show that the invariants are
 * violated without them.
 */
interface AdoptionRules {
    AdoptionRules STANDARD = new AdoptionRules() {};

    /** Returns whether a candidate's number is high enough to replace the revision in force. */
    default boolean isHigher(long currentNumber, long candidate) {
        return candidate > currentNumber;
    }

    /** Returns whether the hash of a candidate's text equals the hash sent with it. */
    default boolean hasMatchingHash(Revision candidate) {
        return candidate.hashMatchesText();
    }

    /** Returns whether a number is disputed, given how many different hashes peers report for it. */
    default boolean isDisputed(int hashCount) {
        return hashCount > 1;
    }
}
