package dev.wigeonward.common.store;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter, so that the clients of a recovering service spread their calls. The upper bound
 * of the wait grows from 100 ms to 5 s.
 */
final class Backoff {
    private static final long FIRST_LIMIT_MILLIS = 100;
    private static final long MAX_LIMIT_MILLIS = 5_000;

    private final RandomGenerator random;
    private long limitMillis = FIRST_LIMIT_MILLIS;

    Backoff(RandomGenerator random) {
        this.random = random;
    }

    /** Returns the wait before the next attempt, at least 1 ms. */
    long nextMillis() {
        long waitMillis = random.nextLong(1, limitMillis + 1);
        limitMillis = Math.min(2 * limitMillis, MAX_LIMIT_MILLIS);
        return waitMillis;
    }

    /** Sets the upper bound of the next wait back to its first value. */
    void reset() {
        limitMillis = FIRST_LIMIT_MILLIS;
    }
}
