package dev.wigeonward.core.rollout;

import java.util.Locale;

import dev.wigeonward.core.rollout.RouteEvaluation.Figures;
import dev.wigeonward.core.rollout.RouteEvaluation.Verdict;

/**
 * Stateless comparison of a new version with the old one on one route by Wald's sequential probability ratio test.
 *
 * <p>Two tests run in parallel: one on the share of failures, one on the share of answers slower than the old version's
 * 90th percentile of normalized time. Each tests the old version's share against that share plus the configured
 * difference. The log-likelihood ratio of a binomial test depends on the totals only, so no state is kept between calls
 * and a test may be repeated at any time.
 */
public final class VersionEvaluator {
    private static final double SLOW_FRACTION = 0.1;
    /** Minimum failure share expected, so that few failures do not condemn a version whose predecessor had none. */
    private static final double MIN_FAILURE_SHARE = 0.01;
    /** Failure share assumed for an old version with too few requests for an estimate. */
    private static final double DEFAULT_FAILURE_SHARE = 0.02;
    /**
     * Factor on the difference when there is no recent evidence of the old version: a change of the environment then
     * looks like a difference between the versions.
     */
    private static final double STALE_DIFFERENCE_FACTOR = 2;

    /** Failure share from which a bad verdict needs no confirmation. */
    private static final double GROSS_FAILURE_SHARE = 0.25;
    /** Minimum number of the old version's requests from which a share is estimated. */
    private static final int MIN_ESTIMATE_SAMPLES = 30;

    private final EvaluationSettings settings;
    private final double badBound;
    private final double goodBound;

    /** Creates an evaluator with the given error rates and differences. */
    public VersionEvaluator(EvaluationSettings settings) {
        this.settings = settings;
        this.badBound = Math.log((1 - settings.falseGoodRate()) / settings.falseBadRate());
        this.goodBound = Math.log(settings.falseGoodRate() / (1 - settings.falseBadRate()));
    }

    /**
     * Returns the evaluation of the new version on the route.
     *
     * @param recentOld the old version's evidence of the same period as the new version's
     * @param earlierOld the old version's evidence since the rollout began, used if recentOld has too few requests
     * @param newEvidence the new version's evidence
     * @param truncated whether the time for the test is over, in which case the verdict is never undecided
     */
    public RouteEvaluation evaluate(
            RouteLoadKey key,
            EvidenceCounters recentOld,
            EvidenceCounters earlierOld,
            EvidenceCounters newEvidence,
            boolean truncated) {
        boolean oldIsStale = isStale(recentOld);
        EvidenceCounters old = oldIsStale ? earlierOld : recentOld;
        double differenceFactor = oldIsStale ? STALE_DIFFERENCE_FACTOR : 1;
        ShareTest failures = failureTest(old, newEvidence, differenceFactor);
        int slowBucket = old.times().quantileBucket(SLOW_FRACTION);
        ShareTest slow = slowTest(old, newEvidence, slowBucket, differenceFactor);
        Figures oldFigures = figures(old, slowBucket);
        Figures newFigures = figures(newEvidence, slowBucket);
        if (newEvidence.requests() >= settings.minSamples()) {
            // Half the bound keeps the false alarm rate of a truncated test near the square root of the full test's.
            double bound = truncated ? badBound / 2 : badBound;
            if (failures.ratio >= bound || slow.ratio >= bound) {
                ShareTest worse = failures.ratio >= bound ? failures : slow;
                return new RouteEvaluation(key, Verdict.BAD, oldFigures, newFigures, worse.describe(">=", bound));
            }
            if (failures.ratio <= goodBound && (slow.ratio <= goodBound || !slow.applicable)) {
                return new RouteEvaluation(
                        key, Verdict.GOOD, oldFigures, newFigures, failures.describe("<=", goodBound));
            }
        }
        if (truncated) {
            String reason = "time for the test is over after " + newEvidence.requests() + " requests; "
                    + failures.describe("<", badBound / 2);
            return new RouteEvaluation(key, Verdict.GOOD, oldFigures, newFigures, reason);
        }
        return new RouteEvaluation(key, Verdict.UNDECIDED, oldFigures, newFigures, "more requests are needed");
    }

    /**
     * Returns whether a bad verdict needs no confirmation, either because failures show it against enough recent
     * evidence of the old version, or because the failure share is too high to wait. Slow answers alone are confirmed
     * in any case, because a pause of a busy machine delays several answers at once.
     */
    boolean needsNoConfirmation(EvidenceCounters recentOld, EvidenceCounters newEvidence) {
        if (newEvidence.requests() < settings.minSamples()) {
            return false;
        }
        boolean grossFailures = newEvidence.failures() >= GROSS_FAILURE_SHARE * newEvidence.requests();
        return grossFailures || !isStale(recentOld) && failureTest(recentOld, newEvidence, 1).ratio >= badBound;
    }

    /** Returns the log-likelihood ratio of the test on failures, against evidence of another period. */
    double failureLogRatio(EvidenceCounters earlierOld, EvidenceCounters newEvidence) {
        return failureTest(earlierOld, newEvidence, STALE_DIFFERENCE_FACTOR).ratio;
    }

    /** Returns the log-likelihood ratio from which a test shows that the new version is bad. */
    double badBound() {
        return badBound;
    }

    private boolean isStale(EvidenceCounters recentOld) {
        return recentOld.requests() < settings.minOldSamples();
    }

    private ShareTest failureTest(EvidenceCounters old, EvidenceCounters newEvidence, double differenceFactor) {
        boolean canEstimate = old.requests() >= MIN_ESTIMATE_SAMPLES;
        double share = canEstimate
                ? Math.max(MIN_FAILURE_SHARE, Shares.upperEstimate(old.failures(), old.requests()))
                : DEFAULT_FAILURE_SHARE;
        double badShare = share + differenceFactor * Math.max(settings.failureDifference(), share);
        return ShareTest.of("failures", newEvidence.failures(), newEvidence.requests(), share, badShare);
    }

    private ShareTest slowTest(
            EvidenceCounters old, EvidenceCounters newEvidence, int slowBucket, double differenceFactor) {
        long timed = old.times().total();
        if (timed < MIN_ESTIMATE_SAMPLES) {
            return ShareTest.notApplicable();
        }
        // Times that fall into few buckets leave almost none above the bucket of the quantile, while by its definition
        // up to that fraction may lie above it without any difference between the versions.
        double share = Math.max(SLOW_FRACTION, Shares.upperEstimate(old.times().countAbove(slowBucket), timed));
        double badShare = share + differenceFactor * settings.slowDifference();
        return ShareTest.of(
                "slow answers",
                newEvidence.times().countAbove(slowBucket),
                newEvidence.times().total(),
                share,
                badShare);
    }

    private static Figures figures(EvidenceCounters evidence, int slowBucket) {
        return new Figures(
                evidence.requests(),
                evidence.failures(),
                evidence.times().total(),
                evidence.times().countAbove(slowBucket));
    }

    /** A binomial test of one share with its log-likelihood ratio. */
    private record ShareTest(
            String name, long count, long total, double share, double badShare, double ratio, boolean applicable) {
        private static final double MAX_SHARE = 0.99;
        private static final double MAX_NULL_SHARE = 0.9;

        static ShareTest of(String name, long count, long total, double share, double badShare) {
            double good = Math.min(share, MAX_NULL_SHARE);
            double bad = Math.min(badShare, MAX_SHARE);
            double ratio = count * Math.log(bad / good) + (total - count) * Math.log((1 - bad) / (1 - good));
            return new ShareTest(name, count, total, good, bad, ratio, true);
        }

        /** Returns the test of slow answers when the old version has too few times to compare with. */
        static ShareTest notApplicable() {
            return new ShareTest("slow answers", 0, 0, 0, 0, 0, false);
        }

        String describe(String comparison, double bound) {
            return String.format(
                    Locale.ROOT,
                    "%s %d of %d, expected %.1f%%, bad from %.1f%%: log ratio %.1f %s %.1f",
                    name,
                    count,
                    total,
                    100 * share,
                    100 * badShare,
                    ratio,
                    comparison,
                    bound);
        }
    }
}
