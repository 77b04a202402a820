package dev.wigeonward.core.deployment;

import com.google.common.base.Preconditions;

/** Bounds on what callers send and on how long they take. */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Bounds until the operators' first configuration is known; the same as in the common example. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);

    public CallerLimits {
        Preconditions.checkArgument(maxHeaderBytes > 0, "maxHeaderBytes is %s", maxHeaderBytes);
        Preconditions.checkArgument(maxBodyBytes >= 0, "maxBodyBytes is %s", maxBodyBytes);
        Preconditions.checkArgument(headerTimeoutMillis > 0, "headerTimeoutMillis is %s", headerTimeoutMillis);
        Preconditions.checkArgument(idleTimeoutMillis > 0, "idleTimeoutMillis is %s", idleTimeoutMillis);
    }
}
