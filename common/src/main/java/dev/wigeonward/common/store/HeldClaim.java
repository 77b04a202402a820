package dev.wigeonward.common.store;

/**
 * A claim that this process holds.
 *
 * @param claimId random id that changes with each move, so that replacing the claim of an earlier upstream fails
 * @param modRevision revision of the write that created or moved the claim
 */
public record HeldClaim(ClaimRequest request, String claimId, long modRevision) {}
