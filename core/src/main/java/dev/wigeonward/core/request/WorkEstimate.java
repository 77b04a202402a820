package dev.wigeonward.core.request;

import com.google.common.base.Preconditions;

/**
 * Expected size of a request.
 *
 * @param promptTokens number of tokens to prefill if nothing is cached
 * @param outputTokens expected number of generated tokens
 * @param prefixHash hash of the prompt's leading part, used for cache affinity; 0 if there is none
 */
public record WorkEstimate(int promptTokens, int outputTokens, long prefixHash) {
    private static final long MILLIS_PER_SECOND = 1_000;

    public WorkEstimate {
        Preconditions.checkArgument(promptTokens >= 0, "promptTokens must not be negative, but is %s", promptTokens);
        Preconditions.checkArgument(outputTokens >= 0, "outputTokens must not be negative, but is %s", outputTokens);
    }

    /** Returns the time to prefill the whole prompt, in milliseconds. */
    public long prefillMillis(EngineSpeed speed) {
        return promptTokens * MILLIS_PER_SECOND / speed.prefillTokensPerSecond();
    }

    /** Returns the time to generate the output, in milliseconds. */
    public long decodeMillis(EngineSpeed speed) {
        return outputTokens * MILLIS_PER_SECOND / speed.decodeTokensPerSecond();
    }

    /** Returns the time to serve the request alone with an empty cache, in milliseconds; at least 1. */
    public long serviceMillis(EngineSpeed speed) {
        return Math.max(1, prefillMillis(speed) + decodeMillis(speed));
    }
}
