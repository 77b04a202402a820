package dev.wigeonward.measure.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import dev.wigeonward.core.placement.EarliestCompletion;
import dev.wigeonward.core.placement.LeastOutstanding;
import dev.wigeonward.core.placement.RoundRobin;
import dev.wigeonward.measure.Measurement;
import dev.wigeonward.measure.Report;

/** Measures completion times under each placement policy in simulated time. */
public final class PlacementQualityMeasurement implements Measurement {
    private static final double[] LOADS = {0.5, 0.7, 0.85, 0.95};
    private static final List<PlacementSimulation.Fleet> FLEETS =
            List.of(new PlacementSimulation.Fleet(8, false), new PlacementSimulation.Fleet(120, true));
    private static final List<String> COLUMNS = List.of(
            "entries",
            "load",
            "policy",
            "requests",
            "mean ms",
            "median ms",
            "99th percentile ms",
            "prefix found cached %",
            "in a remote domain %");

    @Override
    public String name() {
        return "placement-quality";
    }

    @Override
    public String description() {
        return "completion time in ms for three placement policies, engines of three speeds, old reports";
    }

    @Override
    public Report run(long seed) {
        Map<String, PlacementSimulation.PolicyFactory> policies = new LinkedHashMap<>();
        policies.put("RoundRobin", (random, prefixes, latency) -> RoundRobin.create());
        policies.put("LeastOutstanding", (random, prefixes, latency) -> LeastOutstanding.create());
        policies.put("EarliestCompletion", EarliestCompletion::create);
        List<List<String>> rows = new ArrayList<>();
        for (PlacementSimulation.Fleet fleet : FLEETS) {
            for (double load : LOADS) {
                policies.forEach((name, factory) ->
                        rows.add(row(fleet, load, name, PlacementSimulation.run(factory, fleet, load, seed))));
            }
        }
        return new Report(COLUMNS, rows, notes(), true, List.of());
    }

    private static List<String> row(
            PlacementSimulation.Fleet fleet, double load, String policy, PlacementSimulation.Result result) {
        return List.of(
                fleet.entries() + (fleet.linkSubset() ? " with link subsets" : " linked to all"),
                String.format(Locale.ROOT, "%.2f", load),
                policy,
                Long.toString(result.requests()),
                String.format(Locale.ROOT, "%.0f", result.meanMillis()),
                String.format(Locale.ROOT, "%.0f", result.medianMillis()),
                String.format(Locale.ROOT, "%.0f", result.percentile99Millis()),
                String.format(Locale.ROOT, "%.1f", 100 * result.prefixHitShare()),
                String.format(Locale.ROOT, "%.1f", 100 * result.remoteShare()));
    }

    private static List<String> notes() {
        return List.of(
                String.format(
                        Locale.ROOT,
                        "%d upstreams with %d slots each, 25, 50 and 100 tokens/s per stream, 3 failure domains;"
                                + " entries unaware of each other",
                        PlacementSimulation.UPSTREAMS,
                        PlacementSimulation.SLOTS),
                "a report is taken every 1,000 ms and arrives 1,000 ms old; a remote domain adds 3 ms; output estimates"
                        + " are off by up to a factor of 2",
                "load is the offered work over what all engines can do with nothing cached; queues at the engines are"
                        + " first in, first out and have no limit",
                "arrivals over 600 s of simulated time, the first 60 s not counted; all requests run to their end");
    }
}
