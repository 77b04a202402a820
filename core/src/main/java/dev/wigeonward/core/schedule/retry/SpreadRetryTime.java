package dev.wigeonward.core.schedule.retry;

import java.util.Random;

import com.google.common.base.Preconditions;
import dev.wigeonward.core.schedule.RetryTimePolicy;

/**
 * Policy for a short peak of several times the capacity, in which callers have one retry: the answer is late in any
 * case, so the caller comes back as late as it respects, when the peak has passed. The times are spread at random, so
 * that the callers refused in one second do not form the next peak.
 */
public final class SpreadRetryTime implements RetryTimePolicy {
    /** Longest wait before a retry that callers respect, as a part of their remaining time. */
    private static final double MAX_WAIT_PART = 0.32;
    /** Lower bound of the random factor that spreads the times. */
    private static final double MIN_SPREAD = 0.6;

    /** Time over which callers come back to upstreams that asked for a longer time. */
    private static final long MAX_SPREAD_MILLIS = 1_000;

    private final Random random;

    private SpreadRetryTime(Random random) {
        this.random = Preconditions.checkNotNull(random, "random");
    }

    /** Returns a policy that takes its random numbers from the given generator. */
    public static SpreadRetryTime create(Random random) {
        return new SpreadRetryTime(random);
    }

    @Override
    public long retryAfterMillis(long remainingMillis) {
        double spread = MIN_SPREAD + (1 - MIN_SPREAD) * random.nextDouble();
        return Math.max(1, (long) (MAX_WAIT_PART * remainingMillis * spread));
    }

    @Override
    public long spreadAfter(long earliestMillis) {
        return earliestMillis + (long) (Math.min(MAX_SPREAD_MILLIS, earliestMillis) * random.nextDouble());
    }
}
