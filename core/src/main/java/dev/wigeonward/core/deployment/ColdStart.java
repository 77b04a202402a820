package dev.wigeonward.core.deployment;

import com.google.common.base.Preconditions;

/**
 * What operators configure about the upstreams of a service that are slow after their start.
 *
 * @param millis time for which an upstream is slow after its start
 * @param perSecond requests that a cold upstream handles in a second
 * @param assumed whether a value was not plausible and has been replaced
 */
public record ColdStart(long millis, double perSecond, boolean assumed) {
    public ColdStart {
        Preconditions.checkArgument(millis >= 0, "millis must not be negative but is %s", millis);
        Preconditions.checkArgument(perSecond > 0, "perSecond must be positive but is %s", perSecond);
    }
}
