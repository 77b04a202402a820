package dev.wigeonward.core.engine;

/**
 * Ratio of observed to estimated service time, as a moving mean and mean deviation. Estimates of output length are off,
 * and an engine may slow down below its announced speed. Not thread-safe.
 */
final class ServiceTimeError {
    private static final double GAIN = 1.0 / 16;
    /** Deviations added to the mean; covers the whole range of evenly spread errors. */
    private static final double DEVIATIONS = 2;

    /** Runs that end earlier were cancelled rather than fast. */
    private static final double MIN_RATIO = 0.5;

    private static final double MAX_RATIO = 16;

    private double meanRatio = 1;
    private double meanDeviation;

    void observe(long estimatedMillis, long observedMillis) {
        double ratio = Math.min(MAX_RATIO, (double) observedMillis / estimatedMillis);
        if (ratio < MIN_RATIO) {
            return;
        }
        meanDeviation += GAIN * (Math.abs(ratio - meanRatio) - meanDeviation);
        meanRatio += GAIN * (ratio - meanRatio);
    }

    /** Returns the expected time to serve an estimated amount of work, in milliseconds. */
    long meanMillis(long estimatedMillis) {
        return (long) (estimatedMillis * meanRatio);
    }

    /** Returns the time within which a request of the estimated service time is expected to end, in milliseconds. */
    long upperMillis(long estimatedMillis) {
        return (long) (estimatedMillis * Math.max(1, meanRatio + DEVIATIONS * meanDeviation));
    }
}
