package dev.wigeonward.core.engine;

/**
 * Moving mean and mean deviation of the ratio of observed to estimated service time. The ratio differs from 1 because
 * estimates of the output length are inaccurate and an engine may be slower than its announced speed. Not thread-safe.
 */
final class ServiceTimeRatio {
    private static final double SMOOTHING_FACTOR = 1.0 / 16;
    /** Number of mean deviations added to the mean; covers the whole range of uniformly distributed errors. */
    private static final double DEVIATION_COUNT = 2;

    /** Lower ratios are ignored, because requests that end so early were cancelled rather than fast. */
    private static final double MIN_RATIO = 0.5;

    private static final double MAX_RATIO = 16;

    private double meanRatio = 1;
    private double meanDeviation;

    /** Updates the ratio with the service time of an ended request. */
    void observe(long estimatedMillis, long observedMillis) {
        double ratio = Math.min(MAX_RATIO, (double) observedMillis / estimatedMillis);
        if (ratio < MIN_RATIO) {
            return;
        }
        meanDeviation += SMOOTHING_FACTOR * (Math.abs(ratio - meanRatio) - meanDeviation);
        meanRatio += SMOOTHING_FACTOR * (ratio - meanRatio);
    }

    /** Returns the expected time to serve an estimated amount of work, in milliseconds. */
    long meanMillis(long estimatedMillis) {
        return (long) (estimatedMillis * meanRatio);
    }

    /** Returns the time within which a request of the estimated service time is expected to end, in milliseconds. */
    long upperMillis(long estimatedMillis) {
        return (long) (estimatedMillis * Math.max(1, meanRatio + DEVIATION_COUNT * meanDeviation));
    }
}
