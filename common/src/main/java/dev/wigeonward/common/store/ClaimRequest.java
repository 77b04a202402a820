package dev.wigeonward.common.store;

import java.util.Objects;

import dev.wigeonward.core.request.RequestId;

/**
 * Request for a claim: the key to claim, and the request and upstream that the claim is to name.
 *
 * @param fingerprint hash of the request's content, which distinguishes a resend from another request with the same key
 */
public record ClaimRequest(
        ClaimKey key, RequestId request, String fingerprint, String upstreamId, long upstreamIncarnation) {
    public ClaimRequest {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(fingerprint, "fingerprint");
        Objects.requireNonNull(upstreamId, "upstreamId");
    }

    /** Returns the same request for a claim that names another upstream. */
    ClaimRequest withUpstream(String newUpstreamId, long newUpstreamIncarnation) {
        return new ClaimRequest(key, request, fingerprint, newUpstreamId, newUpstreamIncarnation);
    }
}
