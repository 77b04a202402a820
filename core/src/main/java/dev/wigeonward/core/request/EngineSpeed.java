package dev.wigeonward.core.request;

import com.google.common.base.Preconditions;

/** Speed of one stream on an upstream, in tokens per second. */
public record EngineSpeed(int prefillTokensPerSecond, int decodeTokensPerSecond) {
    public EngineSpeed {
        Preconditions.checkArgument(prefillTokensPerSecond > 0, "prefillTokensPerSecond is %s", prefillTokensPerSecond);
        Preconditions.checkArgument(decodeTokensPerSecond > 0, "decodeTokensPerSecond is %s", decodeTokensPerSecond);
    }
}
