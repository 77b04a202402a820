package dev.wigeonward.measure.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import dev.wigeonward.measure.Measurement;
import dev.wigeonward.measure.Report;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.RunnerException;

/** Measures the time of one decision of the direct path with JMH. */
public final class SchedulingDecisionMeasurement implements Measurement {
    private static final List<String> COLUMNS = Stream.concat(
                    Stream.of("upstreams", "refused parts"), BenchmarkRuns.TIME_COLUMNS.stream())
            .toList();

    @Override
    public String name() {
        return "scheduling-decision";
    }

    @Override
    public String description() {
        return "time in µs of one decision of the direct path, with and without refused parts of prompts";
    }

    @Override
    public Report run(long seed) {
        List<List<String>> rows = new ArrayList<>();
        try {
            for (RunResult trial : BenchmarkRuns.run(SchedulingBenchmark.class, seed)) {
                rows.add(BenchmarkRuns.row(
                        trial,
                        trial.getParams().getParam("upstreams"),
                        trial.getParams().getParam("refusedParts")));
            }
        } catch (RunnerException e) {
            return new Report(COLUMNS, List.of(), List.of("the benchmark failed: " + e.getMessage()), false, List.of());
        }
        return new Report(
                COLUMNS,
                rows,
                List.of("a decision queues one request with three shared parts, places it and records its end"),
                !rows.isEmpty(),
                List.of());
    }
}
