package dev.wigeonward.core.revision;

/** The decisions that keep a wrong revision out; a seam for tests that check what happens without one of them. */
interface AdoptionRules {
    AdoptionRules STANDARD = new AdoptionRules() {};

    /** Returns whether a candidate's number allows it to replace the revision in force. */
    default boolean isHigher(long numberInForce, long candidate) {
        return candidate > numberInForce;
    }

    /** Returns whether a candidate's text is the one that was accepted. */
    default boolean verifies(Revision candidate) {
        return candidate.verifies();
    }

    /** Returns whether peers contradict each other, given how many hashes they claim for one number. */
    default boolean isDisputed(int hashesOfOneNumber) {
        return hashesOfOneNumber > 1;
    }
}
