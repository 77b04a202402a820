package dev.wigeonward.core.dispatch;

import com.google.common.base.Preconditions;

/**
 * Bounds of an entry's dispatcher.
 *
 * @param maxAttempts dispatches of one request, all but the last of which were refused as not run
 * @param maxReattaches times that missing output is asked for again
 * @param reattachLimitMillis how long a request waits for a new link to its agent; longer than the 5,000 ms for which
 *     the agent keeps it running
 * @param acknowledgeStepBytes output after which an acknowledgement is sent
 * @param windowFactor own requests at an upstream for each of its slots, for the lowest tier; higher tiers get one and
 *     two more, so that the agent's queue can put them first
 */
public record DispatchLimits(
        int maxAttempts, int maxReattaches, long reattachLimitMillis, int acknowledgeStepBytes, int windowFactor) {
    public DispatchLimits {
        Preconditions.checkArgument(maxAttempts > 0, "maxAttempts is %s", maxAttempts);
        Preconditions.checkArgument(maxReattaches >= 0, "maxReattaches is %s", maxReattaches);
        Preconditions.checkArgument(reattachLimitMillis > 0, "reattachLimitMillis is %s", reattachLimitMillis);
        Preconditions.checkArgument(acknowledgeStepBytes > 0, "acknowledgeStepBytes is %s", acknowledgeStepBytes);
        Preconditions.checkArgument(windowFactor > 0, "windowFactor is %s", windowFactor);
    }

    /** Returns the limits used when the settings name none. */
    public static DispatchLimits defaults() {
        return new DispatchLimits(3, 5, 6_000, 64 * 1024, 1);
    }
}
