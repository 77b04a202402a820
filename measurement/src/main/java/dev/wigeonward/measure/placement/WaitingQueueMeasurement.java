package dev.wigeonward.measure.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import dev.wigeonward.measure.Measurement;
import dev.wigeonward.measure.Report;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.RunnerException;

/** Measures the time of one decision of the direct path while many requests wait, with JMH. */
public final class WaitingQueueMeasurement implements Measurement {
    private static final List<String> COLUMNS = Stream.concat(
                    Stream.of("waiting", "workspaces"), BenchmarkRuns.TIME_COLUMNS.stream())
            .toList();

    @Override
    public String name() {
        return "waiting-queue";
    }

    @Override
    public String description() {
        return "time in µs of one decision of the direct path while many requests wait, with and without fair shares";
    }

    @Override
    public Report run(long seed) {
        List<List<String>> rows = new ArrayList<>();
        try {
            for (RunResult trial : BenchmarkRuns.run(WaitingQueueBenchmark.class, seed)) {
                rows.add(BenchmarkRuns.row(
                        trial,
                        trial.getParams().getParam("waiting"),
                        trial.getParams().getParam("workspaces")));
            }
        } catch (RunnerException e) {
            return new Report(COLUMNS, List.of(), List.of("the benchmark failed: " + e.getMessage()), false, List.of());
        }
        return new Report(
                COLUMNS,
                rows,
                List.of("a decision ends one request on 40 upstreams with 12 slots, queues one and places one; "
                        + "0 workspaces stand for the order of arrival"),
                !rows.isEmpty(),
                List.of());
    }
}
