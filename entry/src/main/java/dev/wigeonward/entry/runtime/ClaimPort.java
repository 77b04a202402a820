package dev.wigeonward.entry.runtime;

import java.util.Optional;

import dev.wigeonward.common.store.StoredOutcome;
import dev.wigeonward.core.dispatch.ClaimResult;
import dev.wigeonward.core.request.RequestSpec;

/** Creates, moves and ends the durable claims of requests in the store. Listeners are called on any thread. */
public interface ClaimPort {
    /** Creates the claim of a request, or moves the claim that the request already holds to another upstream. */
    void acquire(RequestSpec request, String upstreamId, long upstreamIncarnation, Listener listener);

    /** Replaces the claim of another request, identified by its claim id, with a claim of this request. */
    void replace(
            RequestSpec request,
            String previousClaimId,
            String upstreamId,
            long upstreamIncarnation,
            Listener listener);

    /** Removes the claim of a request that did not run; the removal is repeated until the store answers. */
    void release(RequestSpec request);

    /** Stores the outcome of a claimed request with its claim. */
    void recordOutcome(RequestSpec request, StoredOutcome outcome);

    /** Receives the answer of the store to a claim operation. */
    interface Listener {
        /** Called with the answer; the outcome is present only if the store holds one for the key. */
        void onReply(ClaimResult answer, Optional<StoredOutcome> outcome);
    }

    /**
     * Discards the local state of a request; its claim, if there still is one, stays in the store without an outcome.
     */
    void discard(RequestSpec request);

    /** Returns a port without a store. No claim can be made, so non-idempotent requests are refused. */
    static ClaimPort unavailable() {
        return new ClaimPort() {
            @Override
            public void acquire(RequestSpec request, String upstreamId, long upstreamIncarnation, Listener listener) {
                listener.onReply(new ClaimResult.Unavailable(), Optional.empty());
            }

            @Override
            public void replace(
                    RequestSpec request,
                    String previousClaimId,
                    String upstreamId,
                    long upstreamIncarnation,
                    Listener listener) {
                listener.onReply(new ClaimResult.Unavailable(), Optional.empty());
            }

            @Override
            public void release(RequestSpec request) {}

            @Override
            public void recordOutcome(RequestSpec request, StoredOutcome outcome) {}

            @Override
            public void discard(RequestSpec request) {}
        };
    }
}
