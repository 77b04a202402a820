package dev.wigeonward.measure.placement;

import dev.wigeonward.core.request.EngineSpeed;
import dev.wigeonward.core.request.RequestSpec;

/**
 * A request of the simulation.
 *
 * @param spec what the entry knows; its output tokens are an estimate
 * @param outputTokens tokens that the engine really generates
 * @param prefixTokens prompt tokens that a cached prefix really saves
 * @param arrivedAtMicros arrival at the entry
 * @param entry number of the entry
 */
record SimulatedRequest(RequestSpec spec, int outputTokens, int prefixTokens, long arrivedAtMicros, int entry) {
    private static final long MICROS_PER_SECOND = 1_000_000;

    long serviceMicros(EngineSpeed speed, boolean prefixCached) {
        long prefillTokens = spec.work().promptTokens() - (prefixCached ? prefixTokens : 0);
        return prefillTokens * MICROS_PER_SECOND / speed.prefillTokensPerSecond()
                + outputTokens * MICROS_PER_SECOND / speed.decodeTokensPerSecond();
    }
}
