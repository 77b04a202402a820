package dev.wigeonward.core.rollout;

/**
 * Cumulative sum (CUSUM) of log-likelihood ratios of failures on one route. The sum never falls below zero, so that
 * earlier successes do not hide a version that begins to fail. Not thread-safe.
 */
final class FailureSum {
    /** Minimum failure share assumed for a version that is not worse than the old one. */
    private static final double MIN_SHARE = 0.02;
    /** Minimum failure share assumed for a bad version. */
    private static final double MIN_BAD_SHARE = 0.25;

    private static final double MIN_DIFFERENCE = 0.2;
    private static final double MAX_SHARE = 0.7;

    private double logRatio;
    private double peakLogRatio;

    /** Adds results of the new version, to be compared with those of the old one. */
    void add(EvidenceCounters old, EvidenceCounters added) {
        double oldShare = old.requests() == 0 ? 0 : Shares.upperEstimate(old.failures(), old.requests());
        double share = Math.min(MAX_SHARE, Math.max(MIN_SHARE, oldShare));
        double badShare = Math.max(MIN_BAD_SHARE, share + MIN_DIFFERENCE);
        double ratio = added.failures() * Math.log(badShare / share)
                + (added.requests() - added.failures()) * Math.log((1 - badShare) / (1 - share));
        logRatio = Math.max(0, logRatio + ratio);
        peakLogRatio = Math.max(peakLogRatio, logRatio);
    }

    /** Returns the highest log-likelihood ratio since the start. */
    double peakLogRatio() {
        return peakLogRatio;
    }
}
