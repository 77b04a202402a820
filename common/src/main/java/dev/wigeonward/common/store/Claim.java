package dev.wigeonward.common.store;

/**
 * A claim that this process holds.
 *
 * @param claimId random; changes with each move, so that a takeover of the claim at an earlier upstream fails
 * @param modRevision revision of the write that made or moved the claim
 */
public record Claim(ClaimRequest request, String claimId, long modRevision) {}
