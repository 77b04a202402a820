package dev.wigeonward.core.dispatch;

import com.google.common.base.Preconditions;

/**
 * Limits of {@link EntryDispatcher}.
 *
 * @param maxAttempts largest number of dispatches of one request; each but the last was refused as not run
 * @param maxReattaches largest number of times that missing output of a request is requested again
 * @param reattachLimitMillis how long a request waits for a new link to its agent; longer than the 5,000 ms for which
 *     the agent keeps the detached request running
 * @param acknowledgeIntervalBytes number of received bytes after which an acknowledgement is sent
 * @param outstandingPerSlot requests of this entry outstanding at an upstream, for each of its slots, up to which the
 *     lowest tier is dispatched; the two higher tiers may have one and two more for each slot, so that the agent's
 *     queue can move them ahead
 */
public record DispatchLimits(
        int maxAttempts,
        int maxReattaches,
        long reattachLimitMillis,
        int acknowledgeIntervalBytes,
        int outstandingPerSlot) {
    public DispatchLimits {
        Preconditions.checkArgument(maxAttempts > 0, "maxAttempts must be positive, but is %s", maxAttempts);
        Preconditions.checkArgument(maxReattaches >= 0, "maxReattaches must not be negative, but is %s", maxReattaches);
        Preconditions.checkArgument(
                reattachLimitMillis > 0, "reattachLimitMillis must be positive, but is %s", reattachLimitMillis);
        Preconditions.checkArgument(
                acknowledgeIntervalBytes > 0,
                "acknowledgeIntervalBytes must be positive, but is %s",
                acknowledgeIntervalBytes);
        Preconditions.checkArgument(
                outstandingPerSlot > 0, "outstandingPerSlot must be positive, but is %s", outstandingPerSlot);
    }

    /** Returns the limits used when none are configured. */
    public static DispatchLimits defaults() {
        return new DispatchLimits(3, 5, 6_000, 64 * 1024, 1);
    }
}
