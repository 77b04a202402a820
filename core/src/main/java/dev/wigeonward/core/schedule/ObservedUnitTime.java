package dev.wigeonward.core.schedule;

import com.google.common.base.Preconditions;

/**
 * Observed speed of one upstream, exchanged between entries and restored after a restart.
 *
 * @param lifetimeId identifier of the upstream's lifetime, as returned by {@link Upstream#lifetimeId}
 * @param unitTimeMillis time between two events of a stream, or duration of one plain call, in milliseconds
 * @param ageMillis time since the last observation, in milliseconds
 */
public record ObservedUnitTime(String lifetimeId, double unitTimeMillis, long ageMillis) {
    public ObservedUnitTime {
        Preconditions.checkArgument(
                unitTimeMillis > 0,
                "unitTimeMillis of upstream lifetime %s must be positive but was %s",
                lifetimeId,
                unitTimeMillis);
    }
}
