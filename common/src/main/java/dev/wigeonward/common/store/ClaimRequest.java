package dev.wigeonward.common.store;

import java.util.Objects;

import dev.wigeonward.core.request.RequestId;

/**
 * What a claim is asked for.
 *
 * @param fingerprint hash of the content, which tells a resend from another request with the same key
 */
public record ClaimRequest(
        ClaimKey key, RequestId request, String fingerprint, String upstreamId, long upstreamIncarnation) {
    public ClaimRequest {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(fingerprint, "fingerprint");
        Objects.requireNonNull(upstreamId, "upstreamId");
    }

    ClaimRequest at(String newUpstreamId, long newUpstreamIncarnation) {
        return new ClaimRequest(key, request, fingerprint, newUpstreamId, newUpstreamIncarnation);
    }
}
