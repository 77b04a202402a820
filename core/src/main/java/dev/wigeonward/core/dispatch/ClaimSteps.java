package dev.wigeonward.core.dispatch;

import java.util.Optional;

import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.placement.UpstreamState;
import dev.wigeonward.core.request.DispatchId;
import dev.wigeonward.core.request.RequestId;

/** The steps from a chosen upstream to a dispatch, with a durable claim in between for non-idempotent requests. */
final class ClaimSteps {
    /** Rounds of attaching to another request's run before the caller is told to come back. */
    private static final int MAX_CLAIM_ROUNDS = 3;

    private final EntryDispatcher dispatcher;
    private final UpstreamDirectory upstreams;

    ClaimSteps(EntryDispatcher dispatcher, UpstreamDirectory upstreams) {
        this.dispatcher = dispatcher;
        this.upstreams = upstreams;
    }

    void answered(RequestId id, ClaimAnswer answer, long nowMillis) {
        Optional<Flight> found = dispatcher.flight(id).filter(flight -> flight.phase == Flight.Phase.CLAIMING);
        if (found.isEmpty()) {
            // The request was answered as not run in the meantime, and its claim was released with that answer.
            return;
        }
        Flight flight = found.get();
        if (answer instanceof ClaimAnswer.Granted) {
            granted(flight, nowMillis);
        } else if (answer instanceof ClaimAnswer.HeldByOther held) {
            heldByOther(flight, held, nowMillis);
        } else if (answer instanceof ClaimAnswer.OutcomeStored) {
            dispatcher.emit(new EntryEffect.DeliverStored(id));
            dispatcher.end(flight, nowMillis);
        } else if (answer instanceof ClaimAnswer.OtherContent) {
            failWithoutClaim(flight, ErrorKind.IDEMPOTENCY_KEY_REUSED, "the key was used with another body", nowMillis);
        } else {
            dispatcher.fail(
                    flight,
                    Failure.of(ErrorKind.CLAIM_UNAVAILABLE, "the claim could not be made in the store"),
                    nowMillis);
        }
    }

    private void granted(Flight flight, long nowMillis) {
        flight.claimOwned = true;
        Optional<UpstreamState> usable = upstreams
                .usable(flight.upstreamId)
                .filter(state -> state.description().incarnation() == flight.upstreamIncarnation);
        if (usable.isEmpty()) {
            flight.attempts++;
            dispatcher.retryOrFail(
                    flight, Failure.of(ErrorKind.NO_UPSTREAM, "the upstream left before the dispatch"), nowMillis);
            return;
        }
        if (flight.request.timeLeftMillis(nowMillis) <= 0) {
            dispatcher.fail(
                    flight,
                    Failure.of(ErrorKind.DEADLINE_EXCEEDED_IN_QUEUE, "the deadline passed before the dispatch"),
                    nowMillis);
            return;
        }
        dispatch(flight, nowMillis);
    }

    /** Sends a request to its assigned upstream. */
    void dispatch(Flight flight, long nowMillis) {
        flight.attempts++;
        flight.dispatch = DispatchId.of(flight.request.id(), flight.attempts);
        flight.phase = Flight.Phase.DISPATCHED;
        flight.detachedAtMillis = -1;
        dispatcher.emit(new EntryEffect.SendDispatch(
                flight.request.id(),
                flight.dispatch,
                flight.upstreamId,
                flight.upstreamIncarnation,
                flight.version,
                flight.request.timeLeftMillis(nowMillis)));
    }

    private void heldByOther(Flight flight, ClaimAnswer.HeldByOther held, long nowMillis) {
        flight.claimRounds++;
        dispatcher.releasePlace(flight, nowMillis);
        if (flight.claimRounds > MAX_CLAIM_ROUNDS) {
            failWithoutClaim(flight, ErrorKind.IN_PROGRESS, "another copy of the request is in progress", nowMillis);
            return;
        }
        Optional<UpstreamState> holder = upstreams.find(held.upstreamId());
        boolean restarted =
                holder.isPresent() && holder.get().description().incarnation() != held.upstreamIncarnation();
        if (restarted) {
            failWithoutClaim(
                    flight,
                    ErrorKind.OUTCOME_UNKNOWN,
                    "the agent that may have run the first copy was restarted",
                    nowMillis);
            return;
        }
        if (holder.isEmpty() || !upstreams.linked(held.upstreamId())) {
            failWithoutClaim(
                    flight, ErrorKind.IN_PROGRESS, "the agent that holds the first copy is not reachable", nowMillis);
            return;
        }
        attach(flight, held, holder.get(), nowMillis);
    }

    private void attach(Flight flight, ClaimAnswer.HeldByOther held, UpstreamState holder, long nowMillis) {
        flight.attempts++;
        flight.dispatch = DispatchId.of(flight.request.id(), flight.attempts);
        flight.phase = Flight.Phase.ATTACHING;
        flight.foundClaimId = held.claimId();
        flight.foundRequest = held.request();
        long serviceMillis =
                flight.request.work().serviceMillis(holder.description().speed());
        dispatcher.occupyPlace(flight, holder, serviceMillis, nowMillis);
        sendAttach(flight);
    }

    /** Asks the agent named in the found claim; repeated on a new link, since the first copy may have been lost. */
    void sendAttach(Flight flight) {
        dispatcher.emit(new EntryEffect.SendAttach(
                flight.request.id(), flight.dispatch, flight.upstreamId, flight.foundRequest));
    }

    /** The agent named in the found claim proved that it never received the claiming request. */
    void attachUnseen(Flight flight) {
        flight.phase = Flight.Phase.CLAIMING;
        dispatcher.emit(new EntryEffect.TakeOverClaim(
                flight.request.id(), flight.foundClaimId, flight.upstreamId, flight.upstreamIncarnation));
    }

    /** Fails a request whose key is claimed by another one; that claim stays. */
    private void failWithoutClaim(Flight flight, ErrorKind kind, String message, long nowMillis) {
        if (!flight.callerGone) {
            dispatcher.emit(new EntryEffect.DeliverFailure(flight.request.id(), Failure.of(kind, message)));
        }
        dispatcher.end(flight, nowMillis);
    }
}
