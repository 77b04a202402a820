package dev.wigeonward.core.dispatch;

import com.google.common.base.Preconditions;

/**
 * Limits of {@link AgentDispatcher}.
 *
 * @param windowBytes largest amount of unacknowledged output sent to a reader
 * @param detachedLimitMillis how long a reader is kept after its link was lost; a run ends with its last reader unless
 *     its outcome must be stored
 * @param outcomeRetentionMillis how long the outcome of a run with a key is stored
 * @param maxOutcomes largest number of stored outcomes; the oldest is removed first
 * @param maxTombstones largest number of requests that this incarnation has undertaken never to run
 */
public record AgentLimits(
        int windowBytes, long detachedLimitMillis, long outcomeRetentionMillis, int maxOutcomes, int maxTombstones) {
    public AgentLimits {
        Preconditions.checkArgument(windowBytes > 0, "windowBytes must be positive, but is %s", windowBytes);
        Preconditions.checkArgument(
                detachedLimitMillis > 0, "detachedLimitMillis must be positive, but is %s", detachedLimitMillis);
        Preconditions.checkArgument(
                outcomeRetentionMillis > 0,
                "outcomeRetentionMillis must be positive, but is %s",
                outcomeRetentionMillis);
        Preconditions.checkArgument(maxOutcomes > 0, "maxOutcomes must be positive, but is %s", maxOutcomes);
        Preconditions.checkArgument(maxTombstones > 0, "maxTombstones must be positive, but is %s", maxTombstones);
    }

    /** Returns the limits used when none are configured. */
    public static AgentLimits defaults() {
        return new AgentLimits(256 * 1024, 5_000, 600_000, 4_096, 65_536);
    }
}
