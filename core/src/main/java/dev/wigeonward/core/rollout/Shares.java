package dev.wigeonward.core.rollout;

/** Estimates of shares from counts. */
final class Shares {
    private Shares() {}

    /** Returns the estimated share plus one standard error, so that a small sample does not make a test strict. */
    static double upperEstimate(long count, long total) {
        double share = (count + 1.0) / (total + 2.0);
        return share + Math.sqrt(share * (1 - share) / total);
    }
}
