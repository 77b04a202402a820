package dev.wigeonward.measure.placement;

import dev.wigeonward.core.request.EngineSpeed;
import dev.wigeonward.core.request.RequestSpec;

/**
 * A request of the simulation.
 *
 * @param spec the part of the request that the entry knows; its number of output tokens is an estimate
 * @param outputTokens number of tokens that the engine generates
 * @param prefixTokens number of prompt tokens that need no prefill if the prefix is cached
 * @param arrivedAtMicros time of arrival at the entry
 * @param entry index of the entry
 */
record SimulatedRequest(RequestSpec spec, int outputTokens, int prefixTokens, long arrivedAtMicros, int entry) {
    private static final long MICROS_PER_SECOND = 1_000_000;

    /** Returns the time that the request takes in a slot of an engine. */
    long serviceMicros(EngineSpeed speed, boolean prefixCached) {
        long prefillTokens = spec.work().promptTokens() - (prefixCached ? prefixTokens : 0);
        return prefillTokens * MICROS_PER_SECOND / speed.prefillTokensPerSecond()
                + outputTokens * MICROS_PER_SECOND / speed.decodeTokensPerSecond();
    }
}
