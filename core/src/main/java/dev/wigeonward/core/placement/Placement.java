package dev.wigeonward.core.placement;

import com.google.common.base.Preconditions;

/**
 * A chosen upstream.
 *
 * @param upstreamId the choice
 * @param waitMillis expected time before the request starts there
 * @param serviceMillis expected time to serve it there
 */
public record Placement(String upstreamId, long waitMillis, long serviceMillis) {
    public Placement {
        Preconditions.checkArgument(waitMillis >= 0, "waitMillis is %s", waitMillis);
        Preconditions.checkArgument(serviceMillis >= 0, "serviceMillis is %s", serviceMillis);
    }

    /** Returns the expected time until the whole answer is there, in milliseconds. */
    public long completionMillis() {
        return waitMillis + serviceMillis;
    }
}
