package dev.wigeonward.measure.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import dev.wigeonward.measure.Measurement;
import dev.wigeonward.measure.Report;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.RunnerException;

/** Measures the time of one decision of a coordinator with JMH. */
public final class CoordinatedDecisionMeasurement implements Measurement {
    private static final List<String> COLUMNS = Stream.concat(Stream.of("waiting"), BenchmarkRuns.TIME_COLUMNS.stream())
            .toList();

    @Override
    public String name() {
        return "coordinated-decision";
    }

    @Override
    public String description() {
        return "time in µs of one decision of a coordinator while many requests wait";
    }

    @Override
    public Report run(long seed) {
        List<List<String>> rows = new ArrayList<>();
        try {
            for (RunResult trial : BenchmarkRuns.run(CoordinationBenchmark.class, seed)) {
                rows.add(BenchmarkRuns.row(trial, trial.getParams().getParam("waiting")));
            }
        } catch (RunnerException e) {
            return new Report(COLUMNS, List.of(), List.of("the benchmark failed: " + e.getMessage()), false, List.of());
        }
        return new Report(
                COLUMNS,
                rows,
                List.of("a decision takes the end of one request and an ask, and grants one of the waiting requests"),
                !rows.isEmpty(),
                List.of());
    }
}
