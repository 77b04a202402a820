package dev.wigeonward.measure.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;

import org.openjdk.jmh.results.Result;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import org.openjdk.jmh.runner.options.VerboseMode;

/** Runs of JMH benchmarks that sample the times of decisions. */
final class BenchmarkRuns {
    static final List<String> TIME_COLUMNS =
            List.of("samples", "mean µs", "median µs", "99th percentile µs", "99.9th µs");
    private static final double NANOS_PER_MICRO = 1_000;

    private BenchmarkRuns() {}

    /** Returns the results of all trials of a benchmark. */
    static Collection<RunResult> run(Class<?> benchmark, long seed) throws RunnerException {
        // Runs in this process, since a fork would start a second JVM that competes for the same cores.
        Options options = new OptionsBuilder()
                .include(benchmark.getName())
                .param("seed", Long.toString(seed))
                .forks(0)
                .warmupIterations(3)
                .warmupTime(TimeValue.seconds(1))
                .measurementIterations(5)
                .measurementTime(TimeValue.seconds(1))
                .verbosity(VerboseMode.SILENT)
                .build();
        return new Runner(options).run();
    }

    /** Returns a row of the given cells and of the times of a trial, as {@link #TIME_COLUMNS} names them. */
    static List<String> row(RunResult trial, String... cells) {
        Result<?> result = trial.getPrimaryResult();
        List<String> row = new ArrayList<>(List.of(cells));
        row.add(Long.toString(result.getStatistics().getN()));
        row.add(micros(result.getStatistics().getMean()));
        row.add(micros(result.getStatistics().getPercentile(50)));
        row.add(micros(result.getStatistics().getPercentile(99)));
        row.add(micros(result.getStatistics().getPercentile(99.9)));
        return row;
    }

    static double percentile99Micros(RunResult trial) {
        return trial.getPrimaryResult().getStatistics().getPercentile(99) / NANOS_PER_MICRO;
    }

    private static String micros(double nanos) {
        return String.format(Locale.ROOT, "%.2f", nanos / NANOS_PER_MICRO);
    }
}
