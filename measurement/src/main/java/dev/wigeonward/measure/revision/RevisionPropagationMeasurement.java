package dev.wigeonward.measure.revision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import dev.wigeonward.measure.Measurement;
import dev.wigeonward.measure.Report;

/** Measures the time until all processes have adopted an accepted revision, and the bytes sent and received for it. */
public final class RevisionPropagationMeasurement implements Measurement {
    private static final long TARGET_MILLIS = 6_000;
    private static final double CHANGES_PER_SECOND = 5_900 / 86_400.0;
    private static final int BUDGET_BYTES_PER_SECOND = 4_000;
    private static final int CURVE_POINTS = 100;
    private static final List<PropagationSimulation.Conditions> CONDITIONS = List.of(
            new PropagationSimulation.Conditions("offers and heartbeats", true, 0, false, false),
            new PropagationSimulation.Conditions("heartbeats only", false, 0, false, false),
            new PropagationSimulation.Conditions("10% of frames lost", true, 0.1, false, false),
            new PropagationSimulation.Conditions("one reader reaches the store", true, 0, true, false),
            new PropagationSimulation.Conditions("heartbeats only, one reader", false, 0, true, false),
            new PropagationSimulation.Conditions("all start empty", true, 0, false, true));

    @Override
    public String name() {
        return "revision-spread";
    }

    @Override
    public String description() {
        return "time from acceptance of a revision until processes have it, and bytes sent and received per node";
    }

    @Override
    public Report run(long seed) {
        List<List<String>> rows = new ArrayList<>();
        List<Report.Series> curves = new ArrayList<>();
        long slowestMillis = 0;
        long maxBytesPerNode = 0;
        int maxLinksPerEntry = 0;
        for (PropagationSimulation.Conditions conditions : CONDITIONS) {
            PropagationSimulation simulation = PropagationSimulation.run(conditions, seed);
            long[] millis = simulation.sortedReachedMillis();
            long[] bytes = simulation.revisionBytes();
            rows.add(row(conditions.name(), millis, bytes));
            curves.add(curve(conditions.name(), millis));
            slowestMillis = Math.max(slowestMillis, millis[millis.length - 1]);
            maxLinksPerEntry = Math.max(maxLinksPerEntry, simulation.maxLinksPerEntry());
            if (!conditions.startsEmpty()) {
                maxBytesPerNode =
                        Math.max(maxBytesPerNode, Arrays.stream(bytes).max().orElseThrow());
            }
        }
        List<String> columns = List.of(
                "conditions",
                "50% ms",
                "99% ms",
                "100% ms",
                "bytes per agent, mean",
                "bytes per agent, max",
                "bytes per entry, mean",
                "bytes per entry, max");
        return new Report(
                columns,
                rows,
                notes(slowestMillis, maxBytesPerNode, maxLinksPerEntry),
                true,
                List.of(new Report.LineChart("curve", "ms since acceptance", "share of processes", curves)));
    }

    private static List<String> row(String name, long[] millis, long[] bytes) {
        long[] entries = Arrays.copyOf(bytes, PropagationSimulation.ENTRIES);
        long[] agents = Arrays.copyOfRange(bytes, PropagationSimulation.ENTRIES, bytes.length);
        return List.of(
                name,
                formatMillis(millis[(millis.length - 1) / 2]),
                formatMillis(millis[(int) Math.ceil(millis.length * 0.99) - 1]),
                formatMillis(millis[millis.length - 1]),
                Long.toString(Arrays.stream(agents).sum() / agents.length),
                Long.toString(Arrays.stream(agents).max().orElseThrow()),
                Long.toString(Arrays.stream(entries).sum() / entries.length),
                Long.toString(Arrays.stream(entries).max().orElseThrow()));
    }

    private static String formatMillis(long millis) {
        return millis == PropagationSimulation.NOT_REACHED ? "not reached" : Long.toString(millis);
    }

    private static Report.Series curve(String name, long[] millis) {
        List<Double> x = new ArrayList<>();
        List<Double> y = new ArrayList<>();
        for (int point = 1; point <= CURVE_POINTS; point++) {
            int index = (int) ((long) millis.length * point / CURVE_POINTS) - 1;
            if (millis[index] != PropagationSimulation.NOT_REACHED) {
                x.add((double) millis[index]);
                y.add((double) point / CURVE_POINTS);
            }
        }
        return new Report.Series(name, x, y);
    }

    private static List<String> notes(long slowestMillis, long maxBytesPerNode, int maxLinksPerEntry) {
        long perLinkAndSecond = 2L * FrameSizes.HEARTBEAT_BYTES;
        long perLinkAndSecondWithHash = 2L * FrameSizes.HEARTBEAT_WITH_HASH_BYTES;
        return List.of(
                String.format(
                        "%,d entries and %,d agents with %d links each; latency 1 to 40 ms; heartbeats every 1 s;"
                                + " a text of 200 rules, one of them changed",
                        PropagationSimulation.ENTRIES,
                        PropagationSimulation.AGENTS,
                        PropagationSimulation.LINKS_PER_AGENT),
                String.format(
                        "target: all processes within %d ms; slowest run %s ms: %s",
                        TARGET_MILLIS, formatMillis(slowestMillis), slowestMillis <= TARGET_MILLIS ? "met" : "missed"),
                String.format(
                        "busiest node at 5,900 changes a day: %.0f bytes/s of a budget of %d bytes/s",
                        maxBytesPerNode * CHANGES_PER_SECOND, BUDGET_BYTES_PER_SECOND),
                String.format(
                        "heartbeats sent and received by the entry with most links (%d): %d bytes/s with the number,"
                                + " %d bytes/s with number and hash",
                        maxLinksPerEntry,
                        maxLinksPerEntry * perLinkAndSecond,
                        maxLinksPerEntry * perLinkAndSecondWithHash),
                "bytes are sizes of frames as link.proto encodes them, sent and received, without heartbeats and TCP");
    }
}
