package dev.wigeonward.core.request;

import com.google.common.base.Preconditions;

/** Speed at which an upstream processes a single stream, in tokens per second. */
public record EngineSpeed(int prefillTokensPerSecond, int decodeTokensPerSecond) {
    public EngineSpeed {
        Preconditions.checkArgument(
                prefillTokensPerSecond > 0,
                "prefillTokensPerSecond must be positive, but is %s",
                prefillTokensPerSecond);
        Preconditions.checkArgument(
                decodeTokensPerSecond > 0, "decodeTokensPerSecond must be positive, but is %s", decodeTokensPerSecond);
    }
}
