package dev.wigeonward.core.dispatch;

import java.util.Objects;

import dev.wigeonward.core.request.DispatchId;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;

/** A request between its arrival and its answer, as the entry keeps it. */
final class Flight {
    /** Where a request is. */
    enum Phase {
        QUEUED,
        CLAIMING,
        ATTACHING,
        DISPATCHED
    }

    final RequestSpec request;
    Phase phase = Phase.QUEUED;
    String version;
    String upstreamId;
    long upstreamIncarnation;
    long serviceMillis;
    int attempts;
    int reattaches;
    int claimRounds;
    DispatchId dispatch;
    /** True once the store granted the claim to this request, so that no other copy of it can have run. */
    boolean claimOwned;

    /** Claim of another request that this one found. */
    String foundClaimId;
    /** Request that holds the found claim. */
    RequestId foundRequest;

    long receivedBytes;
    long acknowledgedBytes;
    /** When the link was lost, or a negative value while it is up. */
    long detachedAtMillis = -1;

    boolean callerGone;

    Flight(RequestSpec request) {
        this.request = Objects.requireNonNull(request, "request");
    }

    /** Returns whether a durable claim guards the request. */
    boolean claimed() {
        return !request.idempotent();
    }

    boolean waitsFor(DispatchId answered) {
        return phase == Phase.DISPATCHED && answered.equals(dispatch);
    }
}
