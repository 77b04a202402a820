package dev.wigeonward.entry.store;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import dev.wigeonward.common.store.ClaimKey;
import dev.wigeonward.common.store.ClaimRequest;
import dev.wigeonward.common.store.ClaimResponse;
import dev.wigeonward.common.store.ClaimStore;
import dev.wigeonward.common.store.HeldClaim;
import dev.wigeonward.common.store.StoredOutcome;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.entry.runtime.ClaimPort;

/** A claim port that keeps the claims of this entry's requests in the store. */
public final class StoredClaims implements ClaimPort {
    private final ClaimStore store;
    private final Map<RequestId, RequestClaim> requestClaims = new ConcurrentHashMap<>();

    /** Creates a port without claims. */
    public StoredClaims(ClaimStore store) {
        this.store = store;
    }

    @Override
    public void acquire(RequestSpec request, String upstreamId, long upstreamIncarnation, Listener listener) {
        RequestClaim requestClaim = requestClaims.computeIfAbsent(request.id(), id -> new RequestClaim());
        HeldClaim claim = requestClaim.claim();
        CompletableFuture<ClaimResponse> reply = claim == null
                ? store.acquire(claimRequest(request, upstreamId, upstreamIncarnation))
                : store.moveTo(claim, upstreamId, upstreamIncarnation);
        reply.thenAccept(answer -> onReply(request.id(), requestClaim, answer, listener));
    }

    @Override
    public void replace(
            RequestSpec request,
            String previousClaimId,
            String upstreamId,
            long upstreamIncarnation,
            Listener listener) {
        RequestClaim requestClaim = requestClaims.computeIfAbsent(request.id(), id -> new RequestClaim());
        store.replace(claimRequest(request, upstreamId, upstreamIncarnation), previousClaimId)
                .thenAccept(answer -> onReply(request.id(), requestClaim, answer, listener));
    }

    private static ClaimRequest claimRequest(RequestSpec request, String upstreamId, long upstreamIncarnation) {
        return new ClaimRequest(
                new ClaimKey(request.workspace(), request.key().orElseThrow()),
                request.id(),
                Long.toHexString(request.fingerprint()),
                upstreamId,
                upstreamIncarnation);
    }

    private void onReply(RequestId id, RequestClaim requestClaim, ClaimResponse reply, Listener listener) {
        Optional<HeldClaim> toRelease = requestClaim.setClaim(reply.claim().orElse(null));
        toRelease.ifPresent(store::release);
        if (reply.claim().isEmpty()) {
            requestClaims.remove(id, requestClaim);
        }
        listener.onReply(reply.result(), reply.outcome());
    }

    @Override
    public void release(RequestSpec request) {
        RequestClaim requestClaim = requestClaims.remove(request.id());
        if (requestClaim != null) {
            requestClaim.release().ifPresent(store::release);
        }
    }

    @Override
    public void recordOutcome(RequestSpec request, StoredOutcome outcome) {
        RequestClaim requestClaim = requestClaims.remove(request.id());
        if (requestClaim != null && requestClaim.claim() != null) {
            store.recordOutcome(requestClaim.claim(), outcome);
        }
    }

    @Override
    public void discard(RequestSpec request) {
        requestClaims.remove(request.id());
    }

    /** The claim of one request. It may be released before the store has confirmed that the claim exists. */
    private static final class RequestClaim {
        private HeldClaim claim;
        private boolean released;

        private synchronized HeldClaim claim() {
            return claim;
        }

        /**
         * Sets the claim and returns it if it was released in the meantime, so that the caller removes it from the
         * store.
         */
        private synchronized Optional<HeldClaim> setClaim(HeldClaim granted) {
            claim = granted;
            return released ? Optional.ofNullable(granted) : Optional.empty();
        }

        private synchronized Optional<HeldClaim> release() {
            released = true;
            return Optional.ofNullable(claim);
        }
    }
}
