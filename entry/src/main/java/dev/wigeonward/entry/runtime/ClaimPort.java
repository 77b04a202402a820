package dev.wigeonward.entry.runtime;

import java.util.Optional;

import dev.wigeonward.common.store.StoredOutcome;
import dev.wigeonward.core.dispatch.ClaimAnswer;
import dev.wigeonward.core.request.RequestSpec;

/** Durable claims in the store; answers come back as events, in any thread. */
public interface ClaimPort {
    /** Creates the claim of a request, or moves the own claim to another upstream. */
    void make(RequestSpec request, String upstreamId, long upstreamIncarnation, Listener listener);

    /** Replaces the claim of another request. */
    void takeOver(
            RequestSpec request,
            String previousClaimId,
            String upstreamId,
            long upstreamIncarnation,
            Listener listener);

    /** Removes the own claim of a request that did not run; repeated until the store answers. */
    void release(RequestSpec request);

    /** Stores the outcome of a claimed request. */
    void record(RequestSpec request, StoredOutcome outcome);

    /** Hears the answer to an order. */
    interface Listener {
        /** The store answered; the outcome is present only if it is stored. */
        void onAnswer(ClaimAnswer answer, Optional<StoredOutcome> outcome);
    }

    /** Drops what is kept for a request whose claim stays in the store without an outcome. */
    void forget(RequestSpec request);

    /** Returns a port without a store: no claim can be made, so that non-idempotent requests are refused. */
    static ClaimPort unavailable() {
        return new ClaimPort() {
            @Override
            public void make(RequestSpec request, String upstreamId, long upstreamIncarnation, Listener listener) {
                listener.onAnswer(new ClaimAnswer.Unavailable(), Optional.empty());
            }

            @Override
            public void takeOver(
                    RequestSpec request,
                    String previousClaimId,
                    String upstreamId,
                    long upstreamIncarnation,
                    Listener listener) {
                listener.onAnswer(new ClaimAnswer.Unavailable(), Optional.empty());
            }

            @Override
            public void release(RequestSpec request) {}

            @Override
            public void record(RequestSpec request, StoredOutcome outcome) {}

            @Override
            public void forget(RequestSpec request) {}
        };
    }
}
