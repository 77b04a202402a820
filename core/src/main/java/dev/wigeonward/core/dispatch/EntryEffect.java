package dev.wigeonward.core.dispatch;

import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.DispatchId;
import dev.wigeonward.core.request.RequestId;

/** An action that {@link EntryDispatcher} requests from its adapters. */
public sealed interface EntryEffect {
    /** Creates the durable claim of a request, or moves it from an upstream that did not run the request. */
    record AcquireClaim(RequestId request, String upstreamId, long upstreamIncarnation) implements EntryEffect {}

    /** Replaces the claim of another request, after its upstream proved that it never received that request. */
    record ReplaceClaim(RequestId request, String previousClaimId, String upstreamId, long upstreamIncarnation)
            implements EntryEffect {}

    /** Removes the claim of a request that did not run, even if the creation of the claim is still in progress. */
    record ReleaseClaim(RequestId request) implements EntryEffect {}

    /** Stores the outcome of a claimed request. */
    record RecordOutcome(RequestId request) implements EntryEffect {}

    /** Sends the request to an agent, at most once on one connection. */
    record SendDispatch(
            RequestId request,
            DispatchId dispatch,
            String upstreamId,
            long upstreamIncarnation,
            String version,
            long remainingMillis)
            implements EntryEffect {}

    /** Requests that an agent attach this request to the run of another one with the same key; starts no run. */
    record SendAttach(RequestId request, DispatchId dispatch, String upstreamId, RequestId claimedBy)
            implements EntryEffect {}

    /** Requests the rest of an answer from an agent, from an offset on. */
    record SendReattach(
            RequestId request, DispatchId dispatch, String upstreamId, long upstreamIncarnation, long offsetBytes)
            implements EntryEffect {}

    /** Acknowledges the answer up to an offset. */
    record SendAcknowledge(RequestId request, String upstreamId, long offsetBytes) implements EntryEffect {}

    /** Cancels a request at the agent because its answer is no longer needed. */
    record SendCancel(RequestId request, String upstreamId) implements EntryEffect {}

    /** Delivers part of the answer to the caller, without its first bytes, which were delivered before. */
    record DeliverOutput(RequestId request, int skipBytes) implements EntryEffect {}

    /** Completes the answer to the caller. */
    record DeliverEnd(RequestId request) implements EntryEffect {}

    /** Answers the caller with the outcome stored for the claim. */
    record DeliverStored(RequestId request) implements EntryEffect {}

    /** Answers the caller with an error. */
    record DeliverFailure(RequestId request, Failure failure) implements EntryEffect {}

    /** Discards everything held for a request; no later effect refers to it. */
    record ReleaseRequest(RequestId request) implements EntryEffect {}
}
