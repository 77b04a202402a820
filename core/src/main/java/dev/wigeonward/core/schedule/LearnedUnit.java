package dev.wigeonward.core.schedule;

import com.google.common.base.Preconditions;

/**
 * What an entry has learned of the speed of one upstream, for other entries and for a later start.
 *
 * @param lifetime lifetime of the upstream, as {@link Upstream#lifetime} names it
 * @param unitMillis time of one event of a stream, or of one plain call
 * @param ageMillis time since it was observed
 */
public record LearnedUnit(String lifetime, double unitMillis, long ageMillis) {
    public LearnedUnit {
        Preconditions.checkArgument(unitMillis > 0, "unitMillis of %s is %s", lifetime, unitMillis);
    }
}
