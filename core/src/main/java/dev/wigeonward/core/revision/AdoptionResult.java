package dev.wigeonward.core.revision;

/** Result of trying to adopt a revision. */
public sealed interface AdoptionResult {
    /** The revision was adopted and is now in force. */
    record Adopted(Revision revision) implements AdoptionResult {}

    /** The candidate's number is lower than the one in force, or both the numbers and the hashes are equal. */
    record NotHigher(long currentNumber) implements AdoptionResult {}

    /** The candidate has the number of the revision in force but a different hash. */
    record DifferentHash(String currentHash) implements AdoptionResult {}

    /** The hash of the candidate's text differs from the hash sent with it. */
    record HashMismatch() implements AdoptionResult {}
}
