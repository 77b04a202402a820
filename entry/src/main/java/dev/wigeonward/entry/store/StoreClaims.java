package dev.wigeonward.entry.store;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import dev.wigeonward.common.store.Claim;
import dev.wigeonward.common.store.ClaimKey;
import dev.wigeonward.common.store.ClaimReply;
import dev.wigeonward.common.store.ClaimRequest;
import dev.wigeonward.common.store.ClaimStore;
import dev.wigeonward.common.store.StoredOutcome;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.entry.runtime.ClaimPort;

/** Claims of this entry's requests in the store. */
public final class StoreClaims implements ClaimPort {
    private final ClaimStore store;
    private final Map<RequestId, Held> held = new ConcurrentHashMap<>();

    /** Returns a port over the claims of a store. */
    public StoreClaims(ClaimStore store) {
        this.store = store;
    }

    @Override
    public void make(RequestSpec request, String upstreamId, long upstreamIncarnation, Listener listener) {
        Held own = held.computeIfAbsent(request.id(), id -> new Held());
        Claim claim = own.claim();
        CompletableFuture<ClaimReply> reply = claim == null
                ? store.claim(claimRequest(request, upstreamId, upstreamIncarnation))
                : store.move(claim, upstreamId, upstreamIncarnation);
        reply.thenAccept(answer -> answered(request.id(), own, answer, listener));
    }

    @Override
    public void takeOver(
            RequestSpec request,
            String previousClaimId,
            String upstreamId,
            long upstreamIncarnation,
            Listener listener) {
        Held own = held.computeIfAbsent(request.id(), id -> new Held());
        store.takeOver(claimRequest(request, upstreamId, upstreamIncarnation), previousClaimId)
                .thenAccept(answer -> answered(request.id(), own, answer, listener));
    }

    private static ClaimRequest claimRequest(RequestSpec request, String upstreamId, long upstreamIncarnation) {
        return new ClaimRequest(
                new ClaimKey(request.workspace(), request.key().orElseThrow()),
                request.id(),
                Long.toHexString(request.fingerprint()),
                upstreamId,
                upstreamIncarnation);
    }

    private void answered(RequestId id, Held own, ClaimReply reply, Listener listener) {
        Optional<Claim> toRelease = own.hold(reply.claim().orElse(null));
        toRelease.ifPresent(store::release);
        if (reply.claim().isEmpty()) {
            held.remove(id, own);
        }
        listener.onAnswer(reply.answer(), reply.outcome());
    }

    @Override
    public void release(RequestSpec request) {
        Held own = held.remove(request.id());
        if (own != null) {
            own.release().ifPresent(store::release);
        }
    }

    @Override
    public void record(RequestSpec request, StoredOutcome outcome) {
        Held own = held.remove(request.id());
        if (own != null && own.claim() != null) {
            store.recordOutcome(own.claim(), outcome);
        }
    }

    @Override
    public void forget(RequestSpec request) {
        held.remove(request.id());
    }

    /** The claim of one request; a release may come before the claim is known to exist. */
    private static final class Held {
        private Claim claim;
        private boolean released;

        private synchronized Claim claim() {
            return claim;
        }

        /** Returns the claim if it was released in the meantime. */
        private synchronized Optional<Claim> hold(Claim granted) {
            claim = granted;
            return released ? Optional.ofNullable(granted) : Optional.empty();
        }

        private synchronized Optional<Claim> release() {
            released = true;
            return Optional.ofNullable(claim);
        }
    }
}
