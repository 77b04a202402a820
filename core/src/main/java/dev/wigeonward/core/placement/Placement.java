package dev.wigeonward.core.placement;

import com.google.common.base.Preconditions;

/**
 * Result of a placement: the chosen upstream with its expected times.
 *
 * @param upstreamId id of the chosen upstream
 * @param waitMillis expected time before the request starts there, in milliseconds
 * @param serviceMillis expected time to serve it there, in milliseconds
 */
public record Placement(String upstreamId, long waitMillis, long serviceMillis) {
    public Placement {
        Preconditions.checkArgument(waitMillis >= 0, "waitMillis must not be negative but was %s", waitMillis);
        Preconditions.checkArgument(serviceMillis >= 0, "serviceMillis must not be negative but was %s", serviceMillis);
    }

    /** Returns the expected time until the answer is complete, in milliseconds. */
    public long completionMillis() {
        return waitMillis + serviceMillis;
    }
}
