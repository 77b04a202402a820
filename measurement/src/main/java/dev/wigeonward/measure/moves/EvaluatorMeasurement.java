package dev.wigeonward.measure.moves;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

import dev.wigeonward.core.rollout.EvaluationSettings;
import dev.wigeonward.core.rollout.EvidenceCounters;
import dev.wigeonward.core.rollout.RouteEvaluation.Verdict;
import dev.wigeonward.core.rollout.RouteLoadKey;
import dev.wigeonward.core.rollout.TimeHistogram;
import dev.wigeonward.core.rollout.VersionEvaluator;
import dev.wigeonward.measure.Measurement;
import dev.wigeonward.measure.Report;

/** Measurement of the error rates and sample sizes of the sequential test on one route. */
public final class EvaluatorMeasurement implements Measurement {
    private static final int TRIALS = 10_000;
    private static final int SAMPLES_PER_LOOK = 5;
    private static final int MAX_SAMPLES = 2_000;
    private static final int TRUNCATED_SAMPLES = 60;
    private static final int OLD_SAMPLES = 1_000;
    private static final double BASE_FAILURE_SHARE = 0.01;
    private static final double SPREAD = 0.4;
    private static final RouteLoadKey KEY = new RouteLoadKey("chat", false);
    private static final List<Difference> DIFFERENCES = List.of(
            new Difference("equal", 0, 1),
            new Difference("2 points more failures", 0.02, 1),
            new Difference("5 points more failures", 0.05, 1),
            new Difference("10 points more failures", 0.1, 1),
            new Difference("50 points more failures", 0.5, 1),
            new Difference("5% slower", 0, 1.05),
            new Difference("1.3 times as slow", 0, 1.3),
            new Difference("1.6 times as slow", 0, 1.6),
            new Difference("4 times as slow", 0, 4));

    private final int trials;

    public EvaluatorMeasurement() {
        this(TRIALS);
    }

    EvaluatorMeasurement(int trials) {
        this.trials = trials;
    }

    @Override
    public String name() {
        return "version-judge";
    }

    @Override
    public String description() {
        return "error rates and sample sizes of the sequential test on one route, in % of runs and requests";
    }

    @Override
    public Report run(long seed) {
        EvaluationSettings standard = EvaluationSettings.standard();
        EvaluationSettings loose = new EvaluationSettings(
                0.01,
                0.01,
                standard.failureDifference(),
                standard.slowDifference(),
                standard.minSamples(),
                standard.minOldSamples());
        List<List<String>> rows = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(seed);
        for (Difference difference : DIFFERENCES) {
            rows.add(row("standard", standard, difference, MAX_SAMPLES, random));
            rows.add(row("standard, truncated", standard, difference, TRUNCATED_SAMPLES, random));
            rows.add(row("1% and 1%", loose, difference, MAX_SAMPLES, random));
        }
        return new Report(
                List.of(
                        "new version",
                        "test",
                        "runs",
                        "called bad, %",
                        "called good, %",
                        "undecided, %",
                        "median samples",
                        "95th percentile of samples"),
                rows,
                List.of(
                        "bounds of the standard test: 0.0001% false alarms, 0.5% misses at 5 points more failures or "
                                + "15 points more slow answers",
                        "each run compares with 1,000 samples of an old version that fails 1% of its requests",
                        "tests look every 5 samples and give up at 2,000; truncated ones end at 60"),
                true,
                List.of());
    }

    private List<String> row(
            String name, EvaluationSettings settings, Difference difference, int maxSamples, SplittableRandom random) {
        VersionEvaluator evaluator = new VersionEvaluator(settings);
        int[] verdicts = new int[Verdict.values().length];
        int[] samples = new int[trials];
        for (int trial = 0; trial < trials; trial++) {
            Sample old = new Sample();
            old.add(OLD_SAMPLES, BASE_FAILURE_SHARE, 1, random);
            EvidenceCounters oldCounters = old.counters();
            Sample sample = new Sample();
            Verdict verdict = Verdict.UNDECIDED;
            while (verdict == Verdict.UNDECIDED && sample.requests < maxSamples) {
                sample.add(
                        SAMPLES_PER_LOOK,
                        BASE_FAILURE_SHARE + difference.addedFailureShare,
                        difference.slowdown,
                        random);
                boolean truncated = maxSamples == TRUNCATED_SAMPLES && sample.requests >= maxSamples;
                verdict = evaluator
                        .evaluate(KEY, oldCounters, oldCounters, sample.counters(), truncated)
                        .verdict();
            }
            verdicts[verdict.ordinal()]++;
            samples[trial] = sample.requests;
        }
        Arrays.sort(samples);
        return List.of(
                difference.name,
                name,
                String.valueOf(trials),
                percent(verdicts[Verdict.BAD.ordinal()]),
                percent(verdicts[Verdict.GOOD.ordinal()]),
                percent(verdicts[Verdict.UNDECIDED.ordinal()]),
                String.valueOf(samples[trials / 2]),
                String.valueOf(samples[(int) (trials * 0.95)]));
    }

    private String percent(int count) {
        return String.format(Locale.ROOT, "%.3f", 100.0 * count / trials);
    }

    private record Difference(String name, double addedFailureShare, double slowdown) {}

    private static final class Sample {
        private final long[] times = new long[TimeHistogram.BUCKETS];
        private int requests;
        private int failures;

        void add(int count, double failureShare, double slowdown, SplittableRandom random) {
            for (int i = 0; i < count; i++) {
                requests++;
                if (random.nextDouble() < failureShare) {
                    failures++;
                } else {
                    times[TimeHistogram.bucketOf(slowdown * Math.exp(SPREAD * random.nextGaussian()))]++;
                }
            }
        }

        EvidenceCounters counters() {
            return new EvidenceCounters(requests, failures, TimeHistogram.of(times));
        }
    }
}
