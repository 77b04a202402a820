package dev.wigeonward.measure.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import dev.wigeonward.measure.Measurement;
import dev.wigeonward.measure.Report;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.RunnerException;

/** Measures the time of one placement and admission decision with JMH. */
public final class EntryDecisionMeasurement implements Measurement {
    private static final double TARGET_MICROS = 50;
    private static final List<String> COLUMNS = Stream.concat(
                    Stream.of("upstreams", "requests"), BenchmarkRuns.TIME_COLUMNS.stream())
            .toList();

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
        List<List<String>> rows = new ArrayList<>();
        double worstMicros = 0;
        try {
            for (RunResult trial : BenchmarkRuns.run(DecisionBenchmark.class, seed)) {
                worstMicros = Math.max(worstMicros, BenchmarkRuns.percentile99Micros(trial));
                boolean keyed = Boolean.parseBoolean(trial.getParams().getParam("keyed"));
                rows.add(BenchmarkRuns.row(
                        trial, trial.getParams().getParam("upstreams"), keyed ? "with a key" : "without a key"));
            }
        } catch (RunnerException e) {
            return new Report(COLUMNS, List.of(), List.of("the benchmark failed: " + e.getMessage()), false, List.of());
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
}
