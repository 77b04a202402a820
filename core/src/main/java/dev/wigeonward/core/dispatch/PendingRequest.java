package dev.wigeonward.core.dispatch;

import java.util.Objects;

import dev.wigeonward.core.request.DispatchId;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;

/** State that an entry holds for a request from its arrival to the end of its answer. */
final class PendingRequest {
    /** Progress of a request. */
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
    int claimConflicts;
    DispatchId dispatch;
    /** Whether the store granted the claim to this request, which proves that no other copy of it ran. */
    boolean claimGranted;

    /** Identifier of another request's claim on the same key; null if none was found. */
    String otherClaimId;
    /** Request that holds the other claim. */
    RequestId otherClaimant;

    long receivedBytes;
    long acknowledgedBytes;
    /** Time at which the link to the agent was lost; negative while it is up. */
    long detachedAtMillis = -1;

    boolean callerDisconnected;

    PendingRequest(RequestSpec request) {
        this.request = Objects.requireNonNull(request, "request");
    }

    /** Returns whether the request needs a durable claim, which is the case if it is not idempotent. */
    boolean needsClaim() {
        return !request.idempotent();
    }

    /** Returns whether the request is dispatched and the given dispatch is its current one. */
    boolean isDispatchedAs(DispatchId candidate) {
        return phase == Phase.DISPATCHED && candidate.equals(dispatch);
    }
}
