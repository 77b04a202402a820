package dev.wigeonward.core.dispatch;

import com.google.common.base.Preconditions;

/**
 * Bounds of an agent's dispatcher.
 *
 * @param windowBytes output sent past the last acknowledgement
 * @param detachedLimitMillis how long a run goes on after the last link to its entries was lost
 * @param outcomeRetentionMillis how long the outcome of a run with a key is kept
 * @param maxOutcomes outcomes kept, oldest dropped first
 * @param maxTombstones requests that this incarnation promised never to run
 */
public record AgentLimits(
        int windowBytes, long detachedLimitMillis, long outcomeRetentionMillis, int maxOutcomes, int maxTombstones) {
    public AgentLimits {
        Preconditions.checkArgument(windowBytes > 0, "windowBytes is %s", windowBytes);
        Preconditions.checkArgument(detachedLimitMillis > 0, "detachedLimitMillis is %s", detachedLimitMillis);
        Preconditions.checkArgument(outcomeRetentionMillis > 0, "outcomeRetentionMillis is %s", outcomeRetentionMillis);
        Preconditions.checkArgument(maxOutcomes > 0, "maxOutcomes is %s", maxOutcomes);
        Preconditions.checkArgument(maxTombstones > 0, "maxTombstones is %s", maxTombstones);
    }

    /** Returns the limits used when the settings name none. */
    public static AgentLimits defaults() {
        return new AgentLimits(256 * 1024, 5_000, 600_000, 4_096, 65_536);
    }
}
