package dev.wigeonward.common.store;

import java.time.Clock;

/** Token bucket that holds at most the calls of one second, and at least one; refuses instead of waiting. */
final class CallBudget {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Clock clock;
    private final double callsPerSecond;
    private final double burst;
    private double tokens;
    private long filledMillis;

    CallBudget(Clock clock, double callsPerSecond) {
        this.clock = clock;
        this.callsPerSecond = callsPerSecond;
        this.burst = Math.max(1, callsPerSecond);
        this.tokens = burst;
        this.filledMillis = clock.millis();
    }

    synchronized boolean tryTake() {
        long nowMillis = clock.millis();
        tokens = Math.min(burst, tokens + (nowMillis - filledMillis) * callsPerSecond / MILLIS_PER_SECOND);
        filledMillis = nowMillis;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
