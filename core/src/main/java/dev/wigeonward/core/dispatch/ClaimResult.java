package dev.wigeonward.core.dispatch;

import dev.wigeonward.core.request.RequestId;

/** Result of an attempt to create, move or replace the claim on an idempotency key in the store. */
public sealed interface ClaimResult {
    /** The claim refers to this request and the chosen upstream. */
    record Granted() implements ClaimResult {}

    /** Another request with the same content holds the claim, and no outcome is stored yet. */
    record HeldByOther(String claimId, RequestId request, String upstreamId, long upstreamIncarnation)
            implements ClaimResult {}

    /** The outcome of the request is stored. */
    record OutcomeStored() implements ClaimResult {}

    /** The key was used with a different body. */
    record ContentMismatch() implements ClaimResult {}

    /** The store did not answer, or its answer does not show whether the claim was created. */
    record Unavailable() implements ClaimResult {}
}
