package dev.wigeonward.core.dispatch;

import java.util.Optional;

import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.placement.UpstreamLoadState;
import dev.wigeonward.core.request.DispatchId;
import dev.wigeonward.core.request.RequestId;

/**
 * The part of {@link EntryDispatcher} from the choice of an upstream to the dispatch, which a durable claim precedes
 * for a non-idempotent request.
 */
final class ClaimHandler {
    /** Number of times that a request may find the claim of another one before it fails as in progress. */
    private static final int MAX_CLAIM_CONFLICTS = 3;

    private final EntryDispatcher dispatcher;
    private final UpstreamDirectory upstreams;

    ClaimHandler(EntryDispatcher dispatcher, UpstreamDirectory upstreams) {
        this.dispatcher = dispatcher;
        this.upstreams = upstreams;
    }

    void onClaimAnswered(RequestId id, ClaimResult result, long nowMillis) {
        Optional<PendingRequest> found =
                dispatcher.pending(id).filter(pending -> pending.phase == PendingRequest.Phase.CLAIMING);
        if (found.isEmpty()) {
            // The request was answered as not run in the meantime, and its claim was released with that answer.
            return;
        }
        PendingRequest pending = found.get();
        if (result instanceof ClaimResult.Granted) {
            onGranted(pending, nowMillis);
        } else if (result instanceof ClaimResult.HeldByOther held) {
            onHeldByOther(pending, held, nowMillis);
        } else if (result instanceof ClaimResult.OutcomeStored) {
            dispatcher.emit(new EntryEffect.DeliverStored(id));
            dispatcher.end(pending, nowMillis);
        } else if (result instanceof ClaimResult.ContentMismatch) {
            failWithoutClaim(
                    pending, ErrorKind.IDEMPOTENCY_KEY_REUSED, "the key was used with a different body", nowMillis);
        } else {
            dispatcher.fail(
                    pending, Failure.of(ErrorKind.CLAIM_UNAVAILABLE, "the store did not confirm the claim"), nowMillis);
        }
    }

    private void onGranted(PendingRequest pending, long nowMillis) {
        pending.claimGranted = true;
        Optional<UpstreamLoadState> usable = upstreams
                .usable(pending.upstreamId)
                .filter(state -> state.description().incarnation() == pending.upstreamIncarnation);
        if (usable.isEmpty()) {
            pending.attempts++;
            dispatcher.retryOrFail(
                    pending,
                    Failure.of(ErrorKind.NO_UPSTREAM, "the chosen upstream became unavailable before the dispatch"),
                    nowMillis);
            return;
        }
        if (pending.request.remainingMillis(nowMillis) <= 0) {
            dispatcher.fail(
                    pending,
                    Failure.of(ErrorKind.DEADLINE_EXCEEDED_IN_QUEUE, "the deadline passed before the dispatch"),
                    nowMillis);
            return;
        }
        dispatch(pending, nowMillis);
    }

    /** Dispatches a request to its assigned upstream. */
    void dispatch(PendingRequest pending, long nowMillis) {
        pending.attempts++;
        pending.dispatch = DispatchId.of(pending.request.id(), pending.attempts);
        pending.phase = PendingRequest.Phase.DISPATCHED;
        pending.detachedAtMillis = -1;
        dispatcher.emit(new EntryEffect.SendDispatch(
                pending.request.id(),
                pending.dispatch,
                pending.upstreamId,
                pending.upstreamIncarnation,
                pending.version,
                pending.request.remainingMillis(nowMillis)));
    }

    private void onHeldByOther(PendingRequest pending, ClaimResult.HeldByOther held, long nowMillis) {
        pending.claimConflicts++;
        dispatcher.removeOutstanding(pending, nowMillis);
        if (pending.claimConflicts > MAX_CLAIM_CONFLICTS) {
            failWithoutClaim(pending, ErrorKind.IN_PROGRESS, "another copy of the request is in progress", nowMillis);
            return;
        }
        Optional<UpstreamLoadState> holder = upstreams.find(held.upstreamId());
        boolean restarted =
                holder.isPresent() && holder.get().description().incarnation() != held.upstreamIncarnation();
        if (restarted) {
            failWithoutClaim(
                    pending,
                    ErrorKind.OUTCOME_UNKNOWN,
                    "the agent that may have run the first copy was restarted",
                    nowMillis);
            return;
        }
        if (holder.isEmpty() || !upstreams.linked(held.upstreamId())) {
            failWithoutClaim(
                    pending, ErrorKind.IN_PROGRESS, "the agent that holds the first copy is not reachable", nowMillis);
            return;
        }
        attach(pending, held, holder.get(), nowMillis);
    }

    private void attach(
            PendingRequest pending, ClaimResult.HeldByOther held, UpstreamLoadState holder, long nowMillis) {
        pending.attempts++;
        pending.dispatch = DispatchId.of(pending.request.id(), pending.attempts);
        pending.phase = PendingRequest.Phase.ATTACHING;
        pending.otherClaimId = held.claimId();
        pending.otherClaimant = held.request();
        long serviceMillis =
                pending.request.work().serviceMillis(holder.description().speed());
        dispatcher.addOutstanding(pending, holder, serviceMillis, nowMillis);
        sendAttach(pending);
    }

    /** Asks the agent of the other claim to attach this request; repeated on a new link, as the first may be lost. */
    void sendAttach(PendingRequest pending) {
        dispatcher.emit(new EntryEffect.SendAttach(
                pending.request.id(), pending.dispatch, pending.upstreamId, pending.otherClaimant));
    }

    /** Replaces the other claim after its agent proved that it never received the request that holds the claim. */
    void onAttachNeverReceived(PendingRequest pending) {
        pending.phase = PendingRequest.Phase.CLAIMING;
        dispatcher.emit(new EntryEffect.ReplaceClaim(
                pending.request.id(), pending.otherClaimId, pending.upstreamId, pending.upstreamIncarnation));
    }

    /** Fails a request whose key is claimed by another one, without releasing that claim. */
    private void failWithoutClaim(PendingRequest pending, ErrorKind kind, String message, long nowMillis) {
        if (!pending.callerDisconnected) {
            dispatcher.emit(new EntryEffect.DeliverFailure(pending.request.id(), Failure.of(kind, message)));
        }
        dispatcher.end(pending, nowMillis);
    }
}
