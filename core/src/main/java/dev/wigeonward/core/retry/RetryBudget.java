package dev.wigeonward.core.retry;

import dev.wigeonward.core.dispatch.RetryLimiter;

/**
 * Token bucket that limits retries. Each second adds the larger of a share of the requests and a fixed minimum, so that
 * an entry with few requests can still retry and one with many cannot multiply its load. Not thread-safe.
 */
public final class RetryBudget implements RetryLimiter {
    private static final long MILLITOKENS_PER_RETRY = 1_000;
    /** Tokens added by one request, a tenth of a retry. */
    private static final long MILLITOKENS_PER_REQUEST = 100;

    private static final long MIN_RETRIES_PER_SECOND = 10;
    /** Equal to the retries per second, since a retry costs as many millitokens as a second has milliseconds. */
    private static final long MIN_MILLITOKENS_PER_MILLI = MIN_RETRIES_PER_SECOND;

    private static final long INTERVAL_MILLIS = 1_000;
    private static final long MIN_MILLITOKENS_PER_INTERVAL = MIN_MILLITOKENS_PER_MILLI * INTERVAL_MILLIS;

    private long intervalStartMillis;
    private long requestMillitokens;
    private long addedMillitokens;
    private long previousAddedMillitokens;
    private long millitokens;

    private RetryBudget(long nowMillis) {
        intervalStartMillis = nowMillis;
        millitokens = MIN_MILLITOKENS_PER_INTERVAL;
    }

    /** Returns a budget that starts with the minimum of one second. */
    public static RetryBudget create(long nowMillis) {
        return new RetryBudget(nowMillis);
    }

    @Override
    public void recordRequest(long nowMillis) {
        startDueInterval(nowMillis);
        requestMillitokens += MILLITOKENS_PER_REQUEST;
        addTokens(nowMillis);
    }

    @Override
    public boolean tryAcquire(long nowMillis) {
        startDueInterval(nowMillis);
        addTokens(nowMillis);
        if (millitokens < MILLITOKENS_PER_RETRY) {
            return false;
        }
        millitokens -= MILLITOKENS_PER_RETRY;
        return true;
    }

    private void startDueInterval(long nowMillis) {
        long intervals = (nowMillis - intervalStartMillis) / INTERVAL_MILLIS;
        if (intervals <= 0) {
            return;
        }
        addTokens(intervalStartMillis + INTERVAL_MILLIS);
        previousAddedMillitokens = intervals == 1 ? addedMillitokens : MIN_MILLITOKENS_PER_INTERVAL;
        requestMillitokens = 0;
        addedMillitokens = 0;
        intervalStartMillis += intervals * INTERVAL_MILLIS;
        // The bucket holds the tokens of one second, so a pause of more than a second fills it to the minimum only.
        if (intervals > 1) {
            millitokens = Math.max(millitokens, MIN_MILLITOKENS_PER_INTERVAL);
        }
        millitokens = Math.min(millitokens, capacityMillitokens());
    }

    private void addTokens(long nowMillis) {
        long elapsedMillis = Math.max(0, nowMillis - intervalStartMillis);
        long dueMillitokens = Math.max(requestMillitokens, elapsedMillis * MIN_MILLITOKENS_PER_MILLI);
        long newMillitokens = Math.max(0, dueMillitokens - addedMillitokens);
        addedMillitokens += newMillitokens;
        millitokens = Math.min(capacityMillitokens(), millitokens + newMillitokens);
    }

    /** Returns the tokens added in the last full second, but at least the minimum. */
    private long capacityMillitokens() {
        return Math.max(MIN_MILLITOKENS_PER_INTERVAL, previousAddedMillitokens);
    }
}
