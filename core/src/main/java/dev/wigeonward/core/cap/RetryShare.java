package dev.wigeonward.core.cap;

import java.util.ArrayDeque;

import com.google.common.base.Preconditions;

/**
 * This entry's part of a retry budget that all entries share over a sliding window. Each entry spends from its own
 * requests and from an equal part of the fixed allowance, so that no message is needed and a cut between entries cannot
 * overdraw the budget. Not thread-safe.
 */
public final class RetryShare {
    /** Part of the budget that is used; the rest covers requests that other entries count in another window. */
    private static final double USED_PART = 0.7;

    private double ratio;
    private int allowance;
    private long windowMillis;
    private final ArrayDeque<Long> requests = new ArrayDeque<>();
    private final ArrayDeque<Long> retries = new ArrayDeque<>();

    private RetryShare(double ratio, int allowance, long windowMillis) {
        change(ratio, allowance, windowMillis);
    }

    /**
     * Returns an unused share.
     *
     * @param ratio retries allowed for each request of the window
     * @param allowance retries allowed in a window beyond the ratio, by all entries together
     */
    public static RetryShare create(double ratio, int allowance, long windowMillis) {
        return new RetryShare(ratio, allowance, windowMillis);
    }

    /** Puts other figures in force; what was counted before still counts. */
    public void change(double newRatio, int newAllowance, long newWindowMillis) {
        Preconditions.checkArgument(newRatio >= 0, "ratio is %s", newRatio);
        Preconditions.checkArgument(newWindowMillis > 0, "windowMillis is %s", newWindowMillis);
        ratio = newRatio;
        allowance = newAllowance;
        windowMillis = newWindowMillis;
    }

    /** Counts a request of a caller. */
    public void onRequest(long nowMillis) {
        requests.add(nowMillis);
        removeOld(nowMillis);
    }

    /** Counts a retry and returns true, or returns false if the share is used up. */
    public boolean tryAcquire(int entries, long nowMillis) {
        Preconditions.checkArgument(entries > 0, "entries is %s", entries);
        removeOld(nowMillis);
        double allowed = USED_PART * (ratio * requests.size() + (double) allowance / entries);
        if (retries.size() + 1 > allowed) {
            return false;
        }
        retries.add(nowMillis);
        return true;
    }

    private void removeOld(long nowMillis) {
        removeOld(requests, nowMillis);
        removeOld(retries, nowMillis);
    }

    private void removeOld(ArrayDeque<Long> times, long nowMillis) {
        while (!times.isEmpty() && times.peekFirst() <= nowMillis - windowMillis) {
            times.removeFirst();
        }
    }
}
