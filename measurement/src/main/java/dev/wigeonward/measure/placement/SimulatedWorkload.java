package dev.wigeonward.measure.placement;

import java.util.Optional;
import java.util.Random;

import dev.wigeonward.core.request.EngineSpeed;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;
import dev.wigeonward.core.request.WorkEstimate;

/**
 * Generates random requests: nine short ones for each long one, which takes about 35 times as long. Half of the
 * requests have one of 2,000 prefixes.
 */
final class SimulatedWorkload {
    private static final int REQUESTS_PER_LONG_REQUEST = 10;
    private static final int PREFIXES = 2_000;
    private static final long DEADLINE_MILLIS = 3_600_000;

    private final Random random;
    private final int entries;
    private long sequence;

    SimulatedWorkload(long seed, int entries) {
        this.random = new Random(seed);
        this.entries = entries;
    }

    /**
     * Returns the mean service time of the requests on an engine without cached prefixes, in seconds. The token counts
     * are the means of the ranges in {@link #next}.
     */
    static double meanServiceSeconds(EngineSpeed speed) {
        double promptTokens = 0.9 * 600 + 0.1 * 5_000;
        double outputTokens = 0.9 * 60 + 0.1 * 2_250;
        return promptTokens / speed.prefillTokensPerSecond() + outputTokens / speed.decodeTokensPerSecond();
    }

    /** Returns a random, exponentially distributed time until the next arrival, in microseconds. */
    long nextGapMicros(double arrivalsPerSecond) {
        return (long) (-Math.log(1 - random.nextDouble()) / arrivalsPerSecond * 1_000_000);
    }

    /** Returns a random request that arrives at a random entry at the given time. */
    SimulatedRequest next(long nowMicros) {
        boolean isLong = random.nextInt(REQUESTS_PER_LONG_REQUEST) == 0;
        int promptTokens = isLong ? uniform(2_000, 8_000) : uniform(200, 1_000);
        int outputTokens = isLong ? uniform(500, 4_000) : uniform(20, 100);
        // The estimate lies between half and twice the generated tokens.
        int estimatedTokens = (int) (outputTokens * Math.pow(2, 2 * random.nextDouble() - 1));
        long prefixHash = random.nextBoolean() ? 1 + skewedPrefix() : 0;
        double prefixShare = 0.2 + 0.6 * random.nextDouble();
        int prefixTokens = prefixHash == 0 ? 0 : (int) (promptTokens * prefixShare);
        int entry = random.nextInt(entries);
        RequestSpec spec = new RequestSpec(
                RequestId.of("entry-" + entry, 1, ++sequence),
                Optional.empty(),
                Tier.STANDARD,
                "workspace",
                "model",
                "route",
                new WorkEstimate(promptTokens, estimatedTokens, prefixHash),
                DEADLINE_MILLIS,
                true,
                sequence);
        return new SimulatedRequest(spec, outputTokens, prefixTokens, nowMicros, entry);
    }

    /** Returns a random prefix index. Squaring the uniform value makes low indexes far more frequent than high ones. */
    private long skewedPrefix() {
        double uniform = random.nextDouble();
        return (long) (uniform * uniform * PREFIXES);
    }

    /** Returns a random integer from {@code min} to {@code max}, both included. */
    private int uniform(int min, int max) {
        return min + random.nextInt(max - min + 1);
    }
}
