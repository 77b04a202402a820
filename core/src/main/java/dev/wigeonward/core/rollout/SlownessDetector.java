package dev.wigeonward.core.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Detector of a new version most of whose answers are slow, by a cumulative sum (CUSUM) of log-likelihood ratios over
 * all routes.
 *
 * <p>An answer counts as slow if its time is well above the median of the old version's recent times on the same route
 * and load level. The old version's upstreams can differ several times in speed and load, so its slowest answers hide a
 * version that is slower throughout, while its median does not. The sum never falls below zero, so that a version that
 * turns slow late is found as fast as one that is slow from the start. Not thread-safe.
 */
final class SlownessDetector {
    /**
     * Distance from the median in buckets above which an answer is slow: a factor of 1.2. It is small because upstreams
     * of a new version are less busy at its small share, so that several times the service time shows as less.
     */
    private static final int SLOW_BUCKETS = 2;
    /** Minimum share of slow answers expected, so that a finding needs more than a few of them. */
    private static final double MIN_SHARE = 0.4;
    /** Minimum share of slow answers assumed for a slow version. */
    private static final double MIN_BAD_SHARE = 0.85;
    /** Minimum increase of the share of slow answers assumed for a slow version. */
    private static final double MIN_DIFFERENCE = 0.25;

    private static final double MAX_BAD_SHARE = 0.95;
    /** Minimum number of the old version's recent answers on a route; without them its answers are not counted. */
    private static final int MIN_OLD_SAMPLES = 30;

    /** Log-likelihood ratio from which the share of the new version must not grow: a ratio of 20 to 1. */
    private static final double MAX_GROWTH_LOG_RATIO = Math.log(20);
    /** Log-likelihood ratio of all answers up to which the version counts as good: a ratio of 1 to 300. */
    private static final double GOOD_LOG_RATIO = -Math.log(300);
    /** Lower bound of the ratio of all answers, so that a version which turns slow does not look good for long. */
    private static final double MIN_TOTAL_LOG_RATIO = -Math.log(3_000);
    /** Log-likelihood ratio at which later answers refute a first finding: a ratio of 1 to 100. */
    private static final double REFUTED_LOG_RATIO = -Math.log(100);

    private final long confirmMillis;
    private final Map<RouteLoadKey, RecentTimes> oldTimes = new HashMap<>();
    private boolean suspect;
    private long suspectSinceMillis;
    private double logRatio;
    /** Log-likelihood ratio of all answers, which unlike {@link #logRatio} does not start anew. */
    private double totalLogRatio;

    /** Log-likelihood ratio of the answers since the load test started. */
    private double loadTestLogRatio;

    private boolean compared;
    private long slow;
    private long total;

    /**
     * Creates a detector without answers.
     *
     * @param confirmMillis minimum time from a first finding to the one that confirms it, because a pause of a busy
     *     machine delays several answers at once
     */
    SlownessDetector(long confirmMillis) {
        this.confirmMillis = confirmMillis;
    }

    /** Adds times of the old version. */
    void addOld(RouteLoadKey key, TimeHistogram times, long nowMillis) {
        oldTimes.computeIfAbsent(key, any -> new RecentTimes()).add(times, nowMillis);
    }

    /** Adds times of the new version. */
    void addNew(RouteLoadKey key, TimeHistogram times, long nowMillis) {
        RecentTimes recent = oldTimes.get(key);
        if (recent == null || times.total() == 0) {
            return;
        }
        TimeHistogram old = recent.get(nowMillis);
        if (old.total() < MIN_OLD_SAMPLES) {
            return;
        }
        int slowBucket = old.quantileBucket(0.5) + SLOW_BUCKETS;
        double share = Math.max(MIN_SHARE, Shares.upperEstimate(old.countAbove(slowBucket), old.total()));
        double badShare = Math.min(MAX_BAD_SHARE, Math.max(MIN_BAD_SHARE, share + MIN_DIFFERENCE));
        long newSlow = times.countAbove(slowBucket);
        slow += newSlow;
        total += times.total();
        double added = newSlow * Math.log(badShare / share)
                + (times.total() - newSlow) * Math.log((1 - badShare) / (1 - share));
        logRatio += added;
        loadTestLogRatio += added;
        totalLogRatio = Math.max(MIN_TOTAL_LOG_RATIO, totalLogRatio + added);
        compared = true;
        boolean refuted = suspect && logRatio <= REFUTED_LOG_RATIO;
        if (refuted || !suspect && logRatio <= 0) {
            suspect = false;
            restart();
        }
    }

    /**
     * Returns a reason if the new version is slow: two findings, the second one on answers after the first.
     *
     * @param bound log-likelihood ratio of a finding
     */
    Optional<String> evaluate(double bound, long nowMillis) {
        if (logRatio < bound) {
            return Optional.empty();
        }
        if (!suspect) {
            suspect = true;
            suspectSinceMillis = nowMillis;
            restart();
            return Optional.empty();
        }
        if (nowMillis - suspectSinceMillis < confirmMillis) {
            return Optional.empty();
        }
        return Optional.of(
                "answers slower than 1.2 times the median of the old version %d of %d: log ratio %.1f >= %.1f"
                        .formatted(slow, total, logRatio, bound));
    }

    /** Returns whether the new version may be slow, so that its share must not grow. */
    boolean isSuspect() {
        return suspect || logRatio >= MAX_GROWTH_LOG_RATIO;
    }

    /** Discards the evidence from before a load test. */
    void startLoadTest() {
        suspect = false;
        loadTestLogRatio = 0;
        totalLogRatio = 0;
        restart();
    }

    /** Returns what the answers since the load test started say against the new version. */
    Optional<String> loadTestObjection() {
        if (!suspect && loadTestLogRatio < MAX_GROWTH_LOG_RATIO) {
            return Optional.empty();
        }
        return Optional.of(
                "slow answers: log ratio %.1f, bad from %.1f".formatted(loadTestLogRatio, MAX_GROWTH_LOG_RATIO));
    }

    /** Returns whether there is evidence that the new version is not slow, or none could be collected. */
    boolean looksGood() {
        return !compared || totalLogRatio <= GOOD_LOG_RATIO;
    }

    private void restart() {
        logRatio = 0;
        slow = 0;
        total = 0;
    }

    /** Times of the last one to two periods. */
    private static final class RecentTimes {
        private static final long PERIOD_MILLIS = 3_000;

        private TimeHistogram earlier = TimeHistogram.empty();
        private TimeHistogram current = TimeHistogram.empty();
        private long currentStartMillis;

        void add(TimeHistogram times, long nowMillis) {
            rotate(nowMillis);
            current = current.plus(times);
        }

        TimeHistogram get(long nowMillis) {
            rotate(nowMillis);
            return earlier.plus(current);
        }

        private void rotate(long nowMillis) {
            long elapsedMillis = nowMillis - currentStartMillis;
            if (elapsedMillis < PERIOD_MILLIS) {
                return;
            }
            earlier = elapsedMillis < 2 * PERIOD_MILLIS ? current : TimeHistogram.empty();
            current = TimeHistogram.empty();
            currentStartMillis = nowMillis;
        }
    }
}
