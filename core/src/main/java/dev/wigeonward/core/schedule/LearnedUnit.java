package dev.wigeonward.core.schedule;

import com.google.common.base.Preconditions;

/**
 * Observed speed of one upstream, exchanged between entries and restored after a restart.
 *
 * @param lifetime identifier of the upstream's lifetime, as returned by {@link Upstream#lifetime}
 * @param unitMillis time between two events of a stream, or duration of one plain call, in milliseconds
 * @param ageMillis time since the last observation, in milliseconds
 */
public record LearnedUnit(String lifetime, double unitMillis, long ageMillis) {
    public LearnedUnit {
        Preconditions.checkArgument(
                unitMillis > 0, "unitMillis of upstream lifetime %s must be positive but was %s", lifetime, unitMillis);
    }
}
