package dev.wigeonward.common.store;

import java.util.Optional;

import dev.wigeonward.core.dispatch.ClaimResult;

/**
 * Response to a request for a claim.
 *
 * @param claim the claim that this process now holds, if the result is {@link ClaimResult.Granted}
 * @param outcome the outcome of the completed request, if the result is {@link ClaimResult.OutcomeStored}
 */
public record ClaimResponse(ClaimResult result, Optional<HeldClaim> claim, Optional<StoredOutcome> outcome) {
    static ClaimResponse granted(HeldClaim claim) {
        return new ClaimResponse(new ClaimResult.Granted(), Optional.of(claim), Optional.empty());
    }

    static ClaimResponse of(ClaimResult result) {
        return new ClaimResponse(result, Optional.empty(), Optional.empty());
    }

    static ClaimResponse unavailable() {
        return of(new ClaimResult.Unavailable());
    }
}
