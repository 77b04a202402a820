package dev.wigeonward.core.rollout;

import java.util.Locale;

import dev.wigeonward.core.rollout.RouteJudgement.Figures;
import dev.wigeonward.core.rollout.RouteJudgement.Verdict;

/**
 * Compares a new version with the old one on one route by Wald's sequential test.
 *
 * <p>Two tests run side by side: the share of failures, and the share of answers slower than the old version's 90th
 * percentile of normalized time. Each tests the old version's share against that share plus the stated difference. The
 * log-likelihood ratio of a binomial test depends on the totals alone, so judging has no state of its own and may be
 * repeated at any time.
 */
public final class VersionJudge {
    private static final double SLOW_FRACTION = 0.1;
    /** Assumed share of failures of an old version of which too little is known. */
    private static final double UNKNOWN_FAILURE_SHARE = 0.02;
    /** Without present evidence of the old version a change of the surroundings looks like a change of version. */
    private static final double STALE_FACTOR = 2;

    private static final double GROSS_FAILURE_SHARE = 0.25;
    /** Requests of the old version below which nothing is estimated from them. */
    private static final int FEW_OLD_SAMPLES = 30;

    private final JudgeSettings settings;
    private final double badBound;
    private final double goodBound;

    public VersionJudge(JudgeSettings settings) {
        this.settings = settings;
        this.badBound = Math.log((1 - settings.falseGoodRate()) / settings.falseBadRate());
        this.goodBound = Math.log(settings.falseGoodRate() / (1 - settings.falseBadRate()));
    }

    /**
     * Returns the verdict on the route.
     *
     * @param recentOld the old version's evidence of the same period
     * @param earlierOld the old version's evidence since the move began, used where the recent one is small
     * @param newEvidence the new version's evidence
     * @param truncated whether the time for the test is over; the verdict is then never undecided
     */
    public RouteJudgement judge(
            RouteCell cell,
            EvidenceCounters recentOld,
            EvidenceCounters earlierOld,
            EvidenceCounters newEvidence,
            boolean truncated) {
        boolean stale = isStale(recentOld);
        EvidenceCounters old = stale ? earlierOld : recentOld;
        double factor = stale ? STALE_FACTOR : 1;
        Test failures = failureTest(old, newEvidence, factor);
        int slowBucket = old.times().quantileBucket(SLOW_FRACTION);
        Test slow = slowTest(old, newEvidence, slowBucket, factor);
        Figures oldFigures = figures(old, slowBucket);
        Figures newFigures = figures(newEvidence, slowBucket);
        if (newEvidence.requests() >= settings.minSamples()) {
            // Half the bound keeps a truncated test's false alarms near the square root of the full test's rate.
            double bound = truncated ? badBound / 2 : badBound;
            if (failures.ratio >= bound || slow.ratio >= bound) {
                Test worse = failures.ratio >= bound ? failures : slow;
                return new RouteJudgement(cell, Verdict.BAD, oldFigures, newFigures, worse.describe(">=", bound));
            }
            if (failures.ratio <= goodBound && (slow.ratio <= goodBound || !slow.possible)) {
                return new RouteJudgement(
                        cell, Verdict.GOOD, oldFigures, newFigures, failures.describe("<=", goodBound));
            }
        }
        if (truncated) {
            String reason = "time for the test is over after " + newEvidence.requests() + " requests; "
                    + failures.describe("<", badBound / 2);
            return new RouteJudgement(cell, Verdict.GOOD, oldFigures, newFigures, reason);
        }
        return new RouteJudgement(cell, Verdict.UNDECIDED, oldFigures, newFigures, "more requests are needed");
    }

    /**
     * Returns whether a bad verdict needs no second look: the old version's evidence is of the same period, or the
     * failures are too many to wait.
     */
    boolean needsNoConfirmation(EvidenceCounters recentOld, EvidenceCounters newEvidence) {
        return !isStale(recentOld)
                || newEvidence.failures() >= GROSS_FAILURE_SHARE * newEvidence.requests()
                        && newEvidence.requests() >= settings.minSamples();
    }

    private boolean isStale(EvidenceCounters recentOld) {
        return recentOld.requests() < settings.minOldSamples();
    }

    private Test failureTest(EvidenceCounters old, EvidenceCounters newEvidence, double factor) {
        boolean known = old.requests() >= FEW_OLD_SAMPLES;
        double share = known ? upperShare(old.failures(), old.requests()) : UNKNOWN_FAILURE_SHARE;
        double badShare = share + factor * Math.max(settings.failureDifference(), share);
        return Test.of("failures", newEvidence.failures(), newEvidence.requests(), share, badShare);
    }

    private Test slowTest(EvidenceCounters old, EvidenceCounters newEvidence, int slowBucket, double factor) {
        long timed = old.times().total();
        if (timed < FEW_OLD_SAMPLES) {
            return Test.impossible();
        }
        double share = upperShare(old.times().countAbove(slowBucket), timed);
        double badShare = share + factor * settings.slowDifference();
        return Test.of(
                "slow answers",
                newEvidence.times().countAbove(slowBucket),
                newEvidence.times().total(),
                share,
                badShare);
    }

    /** Returns the share estimated one standard error high, so that a small sample does not make the test strict. */
    private static double upperShare(long count, long total) {
        double share = (count + 1.0) / (total + 2.0);
        return share + Math.sqrt(share * (1 - share) / total);
    }

    private static Figures figures(EvidenceCounters evidence, int slowBucket) {
        return new Figures(
                evidence.requests(),
                evidence.failures(),
                evidence.times().total(),
                evidence.times().countAbove(slowBucket));
    }

    private record Test(
            String name, long count, long total, double share, double badShare, double ratio, boolean possible) {
        private static final double MAX_SHARE = 0.99;
        private static final double MAX_NULL_SHARE = 0.9;

        static Test of(String name, long count, long total, double share, double badShare) {
            double good = Math.min(share, MAX_NULL_SHARE);
            double bad = Math.min(badShare, MAX_SHARE);
            double ratio = count * Math.log(bad / good) + (total - count) * Math.log((1 - bad) / (1 - good));
            return new Test(name, count, total, good, bad, ratio, true);
        }

        static Test impossible() {
            return new Test("slow answers", 0, 0, 0, 0, 0, false);
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
