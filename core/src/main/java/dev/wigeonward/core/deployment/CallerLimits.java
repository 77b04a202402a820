package dev.wigeonward.core.deployment;

import com.google.common.base.Preconditions;

/** Limits on the size of requests and on the time that callers take to send them. */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits in force until the first configuration is read; equal to the limits in the common example. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);

    public CallerLimits {
        Preconditions.checkArgument(maxHeaderBytes > 0, "maxHeaderBytes must be positive, got %s", maxHeaderBytes);
        Preconditions.checkArgument(maxBodyBytes >= 0, "maxBodyBytes must not be negative, got %s", maxBodyBytes);
        Preconditions.checkArgument(
                headerTimeoutMillis > 0, "headerTimeoutMillis must be positive, got %s", headerTimeoutMillis);
        Preconditions.checkArgument(
                idleTimeoutMillis > 0, "idleTimeoutMillis must be positive, got %s", idleTimeoutMillis);
    }
}
