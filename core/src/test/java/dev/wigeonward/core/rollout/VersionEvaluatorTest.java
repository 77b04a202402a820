package dev.wigeonward.core.rollout;

import java.util.Random;

import dev.wigeonward.core.rollout.RouteEvaluation.Verdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class VersionEvaluatorTest {
    private static final RouteLoadKey KEY = new RouteLoadKey("chat", false);
    private static final int MAX_SAMPLES = 5_000;

    private final VersionEvaluator evaluator = new VersionEvaluator(EvaluationSettings.standard());

    /** Guards against wrong verdicts: equal versions called bad, or clearly worse versions called good or undecided. */
    @ParameterizedTest
    @CsvSource({"0.01, 1.0, GOOD", "0.10, 1.0, BAD", "0.01, 2.0, BAD", "1.00, 1.0, BAD"})
    void verdictMatchesTrueDifference(double failureShare, double slowdown, Verdict expected) {
        Random random = new Random(7);
        EvidenceCounters old = sample(random, 2_000, 0.01, 1);
        for (int trial = 0; trial < 100; trial++) {
            EvidenceCounters evidence = EvidenceCounters.empty();
            Verdict verdict = Verdict.UNDECIDED;
            while (verdict == Verdict.UNDECIDED && evidence.requests() < MAX_SAMPLES) {
                evidence = evidence.plus(sample(random, 1, failureShare, slowdown));
                verdict = evaluator.evaluate(KEY, old, old, evidence, false).verdict();
            }
            assertThat(verdict).isEqualTo(expected);
        }
    }

    /**
     * Guards against a good version that is called slow because the old version's times fall into one bucket of the
     * histogram: nothing lies above it, so the tenth of slow answers that a quantile allows looked like a difference.
     */
    @ParameterizedTest
    @CsvSource({"21, 187, GOOD", "120, 187, BAD"})
    void timesInOneBucketAreNoEvidenceOfSlowness(int slow, int requests, Verdict expected) {
        int bucket = TimeHistogram.bucketOf(1);
        EvidenceCounters old = new EvidenceCounters(3_000, 0, times(3_000, bucket, 0));
        EvidenceCounters evidence = new EvidenceCounters(requests, 0, times(requests - slow, bucket, slow));

        assertThat(evaluator.evaluate(KEY, old, old, evidence, false).verdict()).isEqualTo(expected);
    }

    private static TimeHistogram times(long inBucket, int bucket, long inNextBucket) {
        long[] counts = new long[TimeHistogram.BUCKETS];
        counts[bucket] = inBucket;
        counts[bucket + 1] = inNextBucket;
        return TimeHistogram.of(counts);
    }

    /** Guards against a pause of a busy machine, which delays several answers at once, that ends a rollout. */
    @Test
    void slownessAloneIsConfirmed() {
        int bucket = TimeHistogram.bucketOf(1);
        EvidenceCounters old = new EvidenceCounters(3_000, 0, times(3_000, bucket, 0));
        EvidenceCounters slow = new EvidenceCounters(187, 0, times(67, bucket, 120));
        EvidenceCounters failing = new EvidenceCounters(187, 40, times(147, bucket, 0));

        assertThat(evaluator.needsNoConfirmation(old, slow)).isFalse();
        assertThat(evaluator.needsNoConfirmation(old, failing)).isTrue();
    }

    /** Guards against a rollout that never ends because a route has too few requests for a verdict. */
    @Test
    void truncatedTestAlwaysDecides() {
        Random random = new Random(8);
        EvidenceCounters old = sample(random, 2_000, 0.01, 1);
        assertThat(evaluator
                        .evaluate(KEY, old, old, EvidenceCounters.empty(), true)
                        .verdict())
                .isEqualTo(Verdict.GOOD);
        EvidenceCounters few = sample(random, 20, 0.01, 1);
        assertThat(evaluator.evaluate(KEY, old, old, few, false).verdict()).isEqualTo(Verdict.UNDECIDED);
        assertThat(evaluator.evaluate(KEY, old, old, few, true).verdict()).isEqualTo(Verdict.GOOD);
        EvidenceCounters fewBad = sample(random, 12, 0.6, 1);
        assertThat(evaluator.evaluate(KEY, old, old, fewBad, true).verdict()).isEqualTo(Verdict.BAD);
    }

    /** Guards against a good version that is called bad because a few requests happened to fail. */
    @Test
    void fewerThanTheMinimumOfSamplesAreNeverBad() {
        EvidenceCounters old = new EvidenceCounters(2_000, 20, TimeHistogram.empty());
        EvidenceCounters allFailed = new EvidenceCounters(9, 9, TimeHistogram.empty());
        assertThat(evaluator.evaluate(KEY, old, old, allFailed, false).verdict())
                .isEqualTo(Verdict.UNDECIDED);
        EvidenceCounters oneMore = new EvidenceCounters(10, 10, TimeHistogram.empty());
        RouteEvaluation evaluation = evaluator.evaluate(KEY, old, old, oneMore, false);
        assertThat(evaluation.verdict()).isEqualTo(Verdict.BAD);
        assertThat(evaluation.reason()).startsWith("failures 10 of 10");
    }

    private static EvidenceCounters sample(Random random, int requests, double failureShare, double slowdown) {
        long[] times = new long[TimeHistogram.BUCKETS];
        int failures = 0;
        for (int i = 0; i < requests; i++) {
            if (random.nextDouble() < failureShare) {
                failures++;
            } else {
                times[TimeHistogram.bucketOf(slowdown * Math.exp(0.4 * random.nextGaussian()))]++;
            }
        }
        return new EvidenceCounters(requests, failures, TimeHistogram.of(times));
    }
}
