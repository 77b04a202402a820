package dev.wigeonward.measure.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;

import dev.wigeonward.measure.Measurement;
import dev.wigeonward.measure.Report;
import org.openjdk.jmh.results.Result;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import org.openjdk.jmh.runner.options.VerboseMode;

/** Measures the time of one placement and admission decision with JMH. */
public final class EntryDecisionMeasurement implements Measurement {
    private static final double TARGET_MICROS = 50;
    private static final double NANOS_PER_MICRO = 1_000;
    private static final List<String> COLUMNS =
            List.of("upstreams", "requests", "samples", "mean µs", "median µs", "99th percentile µs", "99.9th µs");

    @Override
    public String name() {
        return "entry-decision";
    }

    @Override
    public String description() {
        return "time in µs of one placement and admission decision with 2,500 workspaces, target 50 µs";
    }

    @Override
    public Report run(long seed) {
        // Runs in this process, since a fork would start a second JVM that competes for the same cores.
        Options options = new OptionsBuilder()
                .include(DecisionBenchmark.class.getName())
                .param("seed", Long.toString(seed))
                .forks(0)
                .warmupIterations(3)
                .warmupTime(TimeValue.seconds(1))
                .measurementIterations(5)
                .measurementTime(TimeValue.seconds(1))
                .verbosity(VerboseMode.SILENT)
                .build();
        Collection<RunResult> results;
        try {
            results = new Runner(options).run();
        } catch (RunnerException e) {
            return new Report(COLUMNS, List.of(), List.of("the benchmark failed: " + e.getMessage()), false, List.of());
        }
        List<List<String>> rows = new ArrayList<>();
        double worstMicros = 0;
        for (RunResult trial : results) {
            Result<?> result = trial.getPrimaryResult();
            double percentile99Micros = result.getStatistics().getPercentile(99) / NANOS_PER_MICRO;
            worstMicros = Math.max(worstMicros, percentile99Micros);
            rows.add(List.of(
                    trial.getParams().getParam("upstreams"),
                    Boolean.parseBoolean(trial.getParams().getParam("keyed")) ? "with a key" : "without a key",
                    Long.toString(result.getStatistics().getN()),
                    micros(result.getStatistics().getMean()),
                    micros(result.getStatistics().getPercentile(50)),
                    micros(result.getStatistics().getPercentile(99)),
                    micros(result.getStatistics().getPercentile(99.9))));
        }
        if (rows.isEmpty()) {
            return new Report(COLUMNS, rows, List.of("the benchmark gave no results"), false, List.of());
        }
        String verdict = worstMicros <= TARGET_MICROS ? "met" : "missed";
        return new Report(
                COLUMNS,
                rows,
                List.of(
                        "target of 50 µs at the 99th percentile: " + verdict,
                        "JMH, sample time, in process (no fork), one thread, 3 s warm-up and 5 s measured per row",
                        "a decision queues one request, takes the next from the queue and places it; admission is"
                                + " FairShareAdmissionQueue with one request of each workspace in one tier",
                        "requests without a key use EarliestCompletion, those with a key KeyAffinity"),
                true,
                List.of());
    }

    private static String micros(double nanos) {
        return String.format(Locale.ROOT, "%.2f", nanos / NANOS_PER_MICRO);
    }
}
