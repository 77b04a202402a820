package dev.wigeonward.core.dispatch;

import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.DispatchId;
import dev.wigeonward.core.request.RequestId;

/** What an entry's dispatcher asks its adapters to do. */
public sealed interface EntryEffect {
    /** Create the durable claim of a request, or move it from an upstream that did not run it. */
    record MakeClaim(RequestId request, String upstreamId, long upstreamIncarnation) implements EntryEffect {}

    /** Replace the claim of another request, whose upstream proved that it never received it. */
    record TakeOverClaim(RequestId request, String previousClaimId, String upstreamId, long upstreamIncarnation)
            implements EntryEffect {}

    /** Remove the own claim of a request that did not run, also one whose creation is still under way. */
    record ReleaseClaim(RequestId request) implements EntryEffect {}

    /** Store the outcome of a claimed request. */
    record RecordOutcome(RequestId request) implements EntryEffect {}

    /** Hand the request to an agent; sent on one connection once. */
    record SendDispatch(
            RequestId request,
            DispatchId dispatch,
            String upstreamId,
            long upstreamIncarnation,
            String version,
            long timeLeftMillis)
            implements EntryEffect {}

    /** Ask an agent to attach this request to the run of another one with the same key; starts no run. */
    record SendAttach(RequestId request, DispatchId dispatch, String upstreamId, RequestId claimedBy)
            implements EntryEffect {}

    /** Ask for the rest of an answer from an offset on. */
    record SendReattach(
            RequestId request, DispatchId dispatch, String upstreamId, long upstreamIncarnation, long offsetBytes)
            implements EntryEffect {}

    /** Confirm the answer up to an offset. */
    record SendAcknowledge(RequestId request, String upstreamId, long offsetBytes) implements EntryEffect {}

    /** Free the place of a request that nobody waits for. */
    record SendCancel(RequestId request, String upstreamId) implements EntryEffect {}

    /** Pass a part of the answer on, without its first bytes, which were passed on before. */
    record DeliverOutput(RequestId request, int skipBytes) implements EntryEffect {}

    /** Tell the caller that its answer is complete. */
    record DeliverEnd(RequestId request) implements EntryEffect {}

    /** Answer with the stored outcome of the claim. */
    record DeliverStored(RequestId request) implements EntryEffect {}

    /** Answer with an error. */
    record DeliverFailure(RequestId request, Failure failure) implements EntryEffect {}

    /** Drop what is kept for a request; no further effect names it. */
    record Forget(RequestId request) implements EntryEffect {}
}
