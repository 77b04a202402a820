package dev.wigeonward.core.revision;

/** What became of a revision that was offered for adoption. */
public sealed interface AdoptionResult {
    /** The revision is in force. */
    record Adopted(Revision revision) implements AdoptionResult {}

    /** The number is not higher than the one in force, with the same hash if the numbers are equal. */
    record NotHigher(long numberInForce) implements AdoptionResult {}

    /** The revision in force has the same number and another hash. */
    record OtherHash(String hashInForce) implements AdoptionResult {}

    /** The text does not have the hash that came with it. */
    record HashMismatch() implements AdoptionResult {}
}
