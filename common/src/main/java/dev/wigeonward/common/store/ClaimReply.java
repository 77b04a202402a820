package dev.wigeonward.common.store;

import java.util.Optional;

import dev.wigeonward.core.dispatch.ClaimAnswer;

/**
 * Reply to a request for a claim.
 *
 * @param claim the claim that this process now holds, if the answer is {@link ClaimAnswer.Granted}
 * @param outcome the outcome of the completed request, if the answer is {@link ClaimAnswer.OutcomeStored}
 */
public record ClaimReply(ClaimAnswer answer, Optional<Claim> claim, Optional<StoredOutcome> outcome) {
    static ClaimReply granted(Claim claim) {
        return new ClaimReply(new ClaimAnswer.Granted(), Optional.of(claim), Optional.empty());
    }

    static ClaimReply of(ClaimAnswer answer) {
        return new ClaimReply(answer, Optional.empty(), Optional.empty());
    }

    static ClaimReply unavailable() {
        return of(new ClaimAnswer.Unavailable());
    }
}
