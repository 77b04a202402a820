package dev.wigeonward.core.retry;

import dev.wigeonward.core.dispatch.RetryPermits;

/**
 * Token bucket for retries. In each second it earns the larger of a share of the requests and a fixed floor, so that a
 * quiet entry can still retry and a busy one cannot multiply its load. Not thread-safe.
 */
public final class RetryBudget implements RetryPermits {
    private static final long MILLITOKENS_PER_RETRY = 1_000;
    /** One request earns a tenth of a retry. */
    private static final long MILLITOKENS_PER_REQUEST = 100;

    private static final long FLOOR_RETRIES_PER_SECOND = 10;
    private static final long FLOOR_MILLITOKENS_PER_MILLI = FLOOR_RETRIES_PER_SECOND;
    private static final long INTERVAL_MILLIS = 1_000;
    private static final long FLOOR_MILLITOKENS_PER_INTERVAL = FLOOR_MILLITOKENS_PER_MILLI * INTERVAL_MILLIS;

    private long intervalStartMillis;
    private long requestMillitokens;
    private long earnedMillitokens;
    private long previousEarnedMillitokens;
    private long millitokens;

    private RetryBudget(long nowMillis) {
        intervalStartMillis = nowMillis;
        millitokens = FLOOR_MILLITOKENS_PER_INTERVAL;
    }

    /** Returns a budget that holds the floor of one second. */
    public static RetryBudget startingAt(long nowMillis) {
        return new RetryBudget(nowMillis);
    }

    @Override
    public void onRequest(long nowMillis) {
        advance(nowMillis);
        requestMillitokens += MILLITOKENS_PER_REQUEST;
        earn(nowMillis);
    }

    @Override
    public boolean tryAcquire(long nowMillis) {
        advance(nowMillis);
        earn(nowMillis);
        if (millitokens < MILLITOKENS_PER_RETRY) {
            return false;
        }
        millitokens -= MILLITOKENS_PER_RETRY;
        return true;
    }

    private void advance(long nowMillis) {
        long intervals = (nowMillis - intervalStartMillis) / INTERVAL_MILLIS;
        if (intervals <= 0) {
            return;
        }
        earn(intervalStartMillis + INTERVAL_MILLIS);
        previousEarnedMillitokens = intervals == 1 ? earnedMillitokens : FLOOR_MILLITOKENS_PER_INTERVAL;
        requestMillitokens = 0;
        earnedMillitokens = 0;
        intervalStartMillis += intervals * INTERVAL_MILLIS;
        // The bucket holds one second: a pause of more than one second fills it to the floor and no further.
        if (intervals > 1) {
            millitokens = Math.max(millitokens, FLOOR_MILLITOKENS_PER_INTERVAL);
        }
        millitokens = Math.min(millitokens, capacityMillitokens());
    }

    private void earn(long nowMillis) {
        long elapsedMillis = Math.max(0, nowMillis - intervalStartMillis);
        long earned = Math.max(requestMillitokens, elapsedMillis * FLOOR_MILLITOKENS_PER_MILLI);
        long gained = Math.max(0, earned - earnedMillitokens);
        earnedMillitokens += gained;
        millitokens = Math.min(capacityMillitokens(), millitokens + gained);
    }

    /** Returns what the last full second earned, at least the floor. */
    private long capacityMillitokens() {
        return Math.max(FLOOR_MILLITOKENS_PER_INTERVAL, previousEarnedMillitokens);
    }
}
