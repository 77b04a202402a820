package dev.wigeonward.core.dispatch;

import dev.wigeonward.core.request.RequestId;

/** What the store knows of the claim on a key. */
public sealed interface ClaimAnswer {
    /** The claim names this request and the upstream asked for. */
    record Granted() implements ClaimAnswer {}

    /** Another request with the same content holds the claim and has no outcome yet. */
    record HeldByOther(String claimId, RequestId request, String upstreamId, long upstreamIncarnation)
            implements ClaimAnswer {}

    /** The outcome is stored. */
    record OutcomeStored() implements ClaimAnswer {}

    /** The key was used with another body. */
    record OtherContent() implements ClaimAnswer {}

    /** The store did not answer, or its answer leaves open whether the claim was made. */
    record Unavailable() implements ClaimAnswer {}
}
