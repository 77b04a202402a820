package dev.wigeonward.core.coordination;

import dev.wigeonward.core.schedule.RefusalReason;

/** Message from a coordinator to a member. */
public sealed interface CoordinatorMessage {
    /** The member is to send the request to the lifetime of an upstream, which keeps tokens of its prompt. */
    record Grant(long number, String lifetimeId, int keptTokens) implements CoordinatorMessage {}

    /**
     * The member is to refuse the request.
     *
     * @param returnAfterMillis time after which the caller should come back, or 0 if the member decides it
     */
    record Refusal(long number, RefusalReason reason, long returnAfterMillis) implements CoordinatorMessage {}

    /** The coordinator runs and holds asks of the member. */
    record Beat() implements CoordinatorMessage {}
}
