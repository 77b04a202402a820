package dev.wigeonward.core.cap;

import java.util.ArrayDeque;

import com.google.common.base.Preconditions;

/**
 * This entry's share of a retry budget that all entries share over a sliding window. The share is computed from the
 * entry's own requests and an equal fraction of the fixed allowance, so that no messages are needed and the budget
 * holds even if entries cannot reach each other. Not thread-safe.
 */
public final class RetryBudgetShare {
    /** Fraction of the budget that is used; the rest covers requests that other entries count in a different window. */
    private static final double USABLE_FRACTION = 0.7;

    private double ratio;
    private double allowance;
    private long windowMillis;
    private final ArrayDeque<Long> requests = new ArrayDeque<>();
    private final ArrayDeque<Long> retries = new ArrayDeque<>();

    private RetryBudgetShare(double ratio, double allowance, long windowMillis) {
        setLimits(ratio, allowance, windowMillis);
    }

    /**
     * Returns an unused share.
     *
     * @param ratio retries allowed per request in the window
     * @param allowance retries that all entries together may make in a window in addition to the ratio
     * @param windowMillis length of the sliding window, in milliseconds
     */
    public static RetryBudgetShare create(double ratio, double allowance, long windowMillis) {
        return new RetryBudgetShare(ratio, allowance, windowMillis);
    }

    /** Replaces the limits; requests and retries recorded before still count. */
    public void setLimits(double newRatio, double newAllowance, long newWindowMillis) {
        Preconditions.checkArgument(newRatio >= 0, "ratio must not be negative but was %s", newRatio);
        Preconditions.checkArgument(newWindowMillis > 0, "windowMillis must be positive but was %s", newWindowMillis);
        ratio = newRatio;
        allowance = newAllowance;
        windowMillis = newWindowMillis;
    }

    /** Records a request of a caller. */
    public void onRequest(long nowMillis) {
        requests.add(nowMillis);
        removeExpired(nowMillis);
    }

    /**
     * Records a retry and returns true, or returns false if the share is exhausted.
     *
     * @param entries number of entries that share the allowance
     */
    public boolean tryAcquire(int entries, long nowMillis) {
        Preconditions.checkArgument(entries > 0, "entries must be positive but was %s", entries);
        removeExpired(nowMillis);
        double allowed = USABLE_FRACTION * (ratio * requests.size() + allowance / entries);
        if (retries.size() + 1 > allowed) {
            return false;
        }
        retries.add(nowMillis);
        return true;
    }

    private void removeExpired(long nowMillis) {
        removeExpired(requests, nowMillis);
        removeExpired(retries, nowMillis);
    }

    private void removeExpired(ArrayDeque<Long> times, long nowMillis) {
        while (!times.isEmpty() && times.peekFirst() <= nowMillis - windowMillis) {
            times.removeFirst();
        }
    }
}
