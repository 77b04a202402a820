package dev.wigeonward.common.store;

import java.time.Clock;

/**
 * Token bucket that limits the rate of calls. Its capacity is the calls of one second, and at least one; a call without
 * a token is refused and does not wait.
 */
final class CallBudget {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Clock clock;
    private final double callsPerSecond;
    private final double capacity;
    private double tokens;
    private long lastRefillMillis;

    CallBudget(Clock clock, double callsPerSecond) {
        this.clock = clock;
        this.callsPerSecond = callsPerSecond;
        this.capacity = Math.max(1, callsPerSecond);
        this.tokens = capacity;
        this.lastRefillMillis = clock.millis();
    }

    /** Takes a token and returns true, or returns false if there is none. */
    synchronized boolean tryAcquire() {
        long nowMillis = clock.millis();
        tokens = Math.min(capacity, tokens + (nowMillis - lastRefillMillis) * callsPerSecond / MILLIS_PER_SECOND);
        lastRefillMillis = nowMillis;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
