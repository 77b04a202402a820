package dev.wigeonward.common.store;

import java.util.random.RandomGenerator;

/** Exponential backoff with full jitter from 100 ms to 5 s, so that clients of a recovering service spread out. */
final class Backoff {
    private static final long FIRST_MILLIS = 100;
    private static final long LONGEST_MILLIS = 5_000;

    private final RandomGenerator random;
    private long limitMillis = FIRST_MILLIS;

    Backoff(RandomGenerator random) {
        this.random = random;
    }

    /** Returns the wait before the next attempt, at least 1 ms. */
    long nextMillis() {
        long waitMillis = random.nextLong(1, limitMillis + 1);
        limitMillis = Math.min(2 * limitMillis, LONGEST_MILLIS);
        return waitMillis;
    }

    void reset() {
        limitMillis = FIRST_MILLIS;
    }
}
