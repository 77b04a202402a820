package dev.wigeonward.core.dispatch;

import dev.wigeonward.core.request.RequestId;

/** Result of an attempt to create or move the claim on an idempotency key in the store. */
public sealed interface ClaimAnswer {
    /** The claim refers to this request and the chosen upstream. */
    record Granted() implements ClaimAnswer {}

    /** Another request with the same content holds the claim, and no outcome is stored yet. */
    record HeldByOther(String claimId, RequestId request, String upstreamId, long upstreamIncarnation)
            implements ClaimAnswer {}

    /** The outcome of the request is stored. */
    record OutcomeStored() implements ClaimAnswer {}

    /** The key was used with a different body. */
    record OtherContent() implements ClaimAnswer {}

    /** The store did not answer, or its answer does not show whether the claim was created. */
    record Unavailable() implements ClaimAnswer {}
}
