package dev.wigeonward.measure.goodput;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.request.Tier;
import dev.wigeonward.measure.Measurement;
import dev.wigeonward.measure.Report;

/** Goodput by tier, wasted prefill and refusals of the full policy and of the baselines at several loads. */
public final class GoodputMeasurement implements Measurement {
    private static final List<Double> DEFAULT_LOADS = List.of(1.0, 1.5, 3.0);
    /** Shares of the highest tier at the largest load that come close to the capacity by themselves. */
    private static final List<Double> LARGE_SHARES = List.of(0.22, 0.26);

    private static final double MIN_HIGHEST_TIER_GOODPUT = 0.99;
    private static final double MAX_WASTED_PREFILL = 0.02;
    private static final List<ErrorKind> KINDS = List.of(
            ErrorKind.OVERLOADED,
            ErrorKind.DISPLACED,
            ErrorKind.DEADLINE_UNREACHABLE,
            ErrorKind.DEADLINE_EXCEEDED_IN_QUEUE,
            ErrorKind.DEADLINE_EXCEEDED_RUNNING);

    private final List<Double> loads;
    private final List<Demand> largeShares;

    private GoodputMeasurement(List<Double> loads, List<Demand> largeShares) {
        this.loads = List.copyOf(loads);
        this.largeShares = List.copyOf(largeShares);
    }

    /** Returns the measurement behind the tables. */
    public static GoodputMeasurement create() {
        double largestLoad = DEFAULT_LOADS.get(DEFAULT_LOADS.size() - 1);
        List<Demand> largeShares = LARGE_SHARES.stream()
                .map(share -> Demand.steady(largestLoad, share))
                .toList();
        return new GoodputMeasurement(DEFAULT_LOADS, largeShares);
    }

    /** Returns the measurement at other loads only, as multiples of the capacity in rising order. */
    public static GoodputMeasurement atLoads(List<Double> loads) {
        return new GoodputMeasurement(loads, List.of());
    }

    @Override
    public String name() {
        return "goodput";
    }

    @Override
    public String description() {
        return "answers within the deadline as a share of offered requests, in %, by policy and load";
    }

    @Override
    public Report run(long seed) {
        List<List<String>> rows = new ArrayList<>();
        Map<Double, Map<Scheme, Tally>> results = new TreeMap<>();
        boolean valid = true;
        for (double load : loads) {
            List<Job> jobs = Workload.generate(seed, Demand.withBurst(load), GoodputRun.capacityMillisPerSecond());
            Map<Scheme, Tally> tallies = new EnumMap<>(Scheme.class);
            for (Scheme scheme : Scheme.values()) {
                Tally tally = GoodputRun.run(scheme, jobs, seed);
                tallies.put(scheme, tally);
                rows.add(row(load + "x", scheme, tally));
                valid &= tally.openCount() == 0;
            }
            results.put(load, tallies);
        }
        List<String> notes = notes(results);
        for (Demand demand : largeShares) {
            List<Job> jobs = Workload.generate(seed, demand, GoodputRun.capacityMillisPerSecond());
            Tally tally = GoodputRun.run(Scheme.FULL, jobs, seed);
            String label = demand.load() + "x, highest tier at " + percent(demand.highestTierLoad()) + "% of capacity";
            rows.add(row(label, Scheme.FULL, tally));
            notes.add(highestTierTarget(label, tally));
            valid &= tally.openCount() == 0;
        }
        return new Report(columns(), rows, notes, valid, List.of(chart(results)));
    }

    private static List<String> columns() {
        List<String> columns = new ArrayList<>(List.of("load", "policy"));
        Stream.of(Tier.values()).forEach(tier -> columns.add(tier.lowerCaseName() + " goodput %"));
        columns.addAll(List.of("total goodput %", "wasted prefill %"));
        KINDS.forEach(kind -> columns.add(kind.wireName()));
        return columns;
    }

    private static List<String> row(String load, Scheme scheme, Tally tally) {
        List<String> row = new ArrayList<>(List.of(load, scheme.label()));
        Stream.of(Tier.values()).forEach(tier -> row.add(percent(tally.goodput(tier))));
        row.add(percent(tally.totalGoodput()));
        row.add(percent(tally.wastedPrefillShare()));
        KINDS.forEach(kind -> row.add(String.valueOf(tally.refusals(kind))));
        return row;
    }

    private List<String> notes(Map<Double, Map<Scheme, Tally>> results) {
        List<String> notes = new ArrayList<>();
        results.forEach((load, tallies) -> {
            Tally full = tallies.get(Scheme.FULL);
            notes.add(highestTierTarget(load + "x", full));
            double baseline = Math.max(
                    tallies.get(Scheme.ROUND_ROBIN_FIFO).totalGoodput(),
                    tallies.get(Scheme.LEAST_OUTSTANDING_FIFO).totalGoodput());
            notes.add(target(
                    load + "x",
                    "total " + percent(full.totalGoodput()) + "%, better baseline " + percent(baseline) + "%",
                    full.totalGoodput() >= baseline));
        });
        double load = loads.get(loads.size() - 1);
        double wasted = results.get(load).get(Scheme.FULL).wastedPrefillShare();
        notes.add(target(
                load + "x", "wasted prefill " + percent(wasted) + "%, target under 2%", wasted < MAX_WASTED_PREFILL));
        return notes;
    }

    private static String highestTierTarget(String load, Tally tally) {
        double goodput = tally.goodput(Tier.CRITICAL);
        return target(
                load,
                "highest tier " + percent(goodput) + "%, target at least 99%",
                goodput >= MIN_HIGHEST_TIER_GOODPUT);
    }

    private static String target(String load, String text, boolean met) {
        return load + ": " + text + ": " + (met ? "met" : "missed");
    }

    private Report.LineChart chart(Map<Double, Map<Scheme, Tally>> results) {
        List<Report.Series> series = new ArrayList<>();
        for (Scheme scheme : Scheme.values()) {
            for (Tier tier : Tier.values()) {
                List<Double> goodput = results.values().stream()
                        .map(tallies -> 100 * tallies.get(scheme).goodput(tier))
                        .toList();
                series.add(new Report.Series(scheme.label() + ", " + tier.lowerCaseName(), loads, goodput));
            }
        }
        return new Report.LineChart("by-tier", "load, multiple of capacity", "goodput, %", series);
    }

    private static String percent(double share) {
        return String.format(Locale.ROOT, "%.2f", 100 * share);
    }
}
