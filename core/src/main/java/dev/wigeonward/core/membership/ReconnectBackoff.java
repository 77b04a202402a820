package dev.wigeonward.core.membership;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: the whole delay is random, so that entries that lost their links to a rack at
 * the same moment do not reconnect at the same moment.
 */
final class ReconnectBackoff {
    static final long FIRST_LIMIT_MILLIS = 100;
    static final long LAST_LIMIT_MILLIS = 5_000;

    /** Six doublings of 100 ms exceed the limit of 5 s; further ones would only risk an overflow. */
    private static final int MAX_DOUBLINGS = 6;

    private final RandomGenerator random;
    private int failures;

    ReconnectBackoff(RandomGenerator random) {
        this.random = random;
    }

    /** Returns the time to wait before the next attempt, in milliseconds. */
    long nextDelayMillis() {
        long delayMillis = random.nextLong(limitMillis() + 1);
        failures++;
        return delayMillis;
    }

    /** Returns the longest possible next delay, in milliseconds. */
    long limitMillis() {
        return Math.min(LAST_LIMIT_MILLIS, FIRST_LIMIT_MILLIS << Math.min(failures, MAX_DOUBLINGS));
    }

    /** Restarts the backoff at its first limit. */
    void reset() {
        failures = 0;
    }
}
