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

/** Measures goodput by tier, wasted prefill and failures of the full policy and of the baselines at several loads. */
public final class GoodputMeasurement implements Measurement {
    private static final List<Double> DEFAULT_LOADS = List.of(1.0, 1.5, 3.0);
    /** Shares of the highest tier with which that tier alone comes close to the capacity at the largest load. */
    private static final List<Double> LARGE_HIGHEST_TIER_SHARES = List.of(0.22, 0.26);

    private static final double MIN_HIGHEST_TIER_GOODPUT = 0.99;
    private static final double MAX_WASTED_PREFILL = 0.02;
    private static final List<ErrorKind> REPORTED_ERROR_KINDS = List.of(
            ErrorKind.OVERLOADED,
            ErrorKind.DISPLACED,
            ErrorKind.DEADLINE_UNREACHABLE,
            ErrorKind.DEADLINE_EXCEEDED_IN_QUEUE,
            ErrorKind.DEADLINE_EXCEEDED_RUNNING);

    private final List<Double> loads;
    private final List<Demand> highestTierDemands;

    private GoodputMeasurement(List<Double> loads, List<Demand> highestTierDemands) {
        this.loads = List.copyOf(loads);
        this.highestTierDemands = List.copyOf(highestTierDemands);
    }

    /** Returns the measurement at the loads and shares of the highest tier that the documentation reports. */
    public static GoodputMeasurement withDefaultLoads() {
        double largestLoad = DEFAULT_LOADS.get(DEFAULT_LOADS.size() - 1);
        List<Demand> highestTierDemands = LARGE_HIGHEST_TIER_SHARES.stream()
                .map(share -> Demand.steady(largestLoad, share))
                .toList();
        return new GoodputMeasurement(DEFAULT_LOADS, highestTierDemands);
    }

    /** Returns the measurement at the given loads only, which are multiples of the capacity in ascending order. */
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
        Map<Double, Map<PolicySet, OutcomeCounts>> results = new TreeMap<>();
        boolean valid = true;
        for (double load : loads) {
            List<Job> jobs =
                    Workload.generate(seed, Demand.withBurst(load), GoodputSimulation.capacityMillisPerSecond());
            Map<PolicySet, OutcomeCounts> countsByPolicySet = new EnumMap<>(PolicySet.class);
            for (PolicySet policySet : PolicySet.values()) {
                OutcomeCounts counts = GoodputSimulation.run(policySet, jobs, seed);
                countsByPolicySet.put(policySet, counts);
                rows.add(row(load + "x", policySet, counts));
                valid &= counts.unresolvedCount() == 0;
            }
            results.put(load, countsByPolicySet);
        }
        List<String> notes = notes(results);
        for (Demand demand : highestTierDemands) {
            List<Job> jobs = Workload.generate(seed, demand, GoodputSimulation.capacityMillisPerSecond());
            OutcomeCounts counts = GoodputSimulation.run(PolicySet.FULL, jobs, seed);
            String label = demand.load() + "x, highest tier at " + percent(demand.highestTierLoad()) + "% of capacity";
            rows.add(row(label, PolicySet.FULL, counts));
            notes.add(highestTierTarget(label, counts));
            valid &= counts.unresolvedCount() == 0;
        }
        return new Report(columns(), rows, notes, valid, List.of(chart(results)));
    }

    private static List<String> columns() {
        List<String> columns = new ArrayList<>(List.of("load", "policy"));
        Stream.of(Tier.values()).forEach(tier -> columns.add(tier.lowerCaseName() + " goodput %"));
        columns.addAll(List.of("total goodput %", "wasted prefill %"));
        REPORTED_ERROR_KINDS.forEach(kind -> columns.add(kind.wireName()));
        return columns;
    }

    private static List<String> row(String load, PolicySet policySet, OutcomeCounts counts) {
        List<String> row = new ArrayList<>(List.of(load, policySet.label()));
        Stream.of(Tier.values()).forEach(tier -> row.add(percent(counts.goodput(tier))));
        row.add(percent(counts.totalGoodput()));
        row.add(percent(counts.wastedPrefillShare()));
        REPORTED_ERROR_KINDS.forEach(kind -> row.add(String.valueOf(counts.failures(kind))));
        return row;
    }

    private List<String> notes(Map<Double, Map<PolicySet, OutcomeCounts>> results) {
        List<String> notes = new ArrayList<>();
        results.forEach((load, countsByPolicySet) -> {
            OutcomeCounts full = countsByPolicySet.get(PolicySet.FULL);
            notes.add(highestTierTarget(load + "x", full));
            double baseline = Math.max(
                    countsByPolicySet.get(PolicySet.ROUND_ROBIN_FIFO).totalGoodput(),
                    countsByPolicySet.get(PolicySet.LEAST_OUTSTANDING_FIFO).totalGoodput());
            notes.add(target(
                    load + "x",
                    "total " + percent(full.totalGoodput()) + "%, better baseline " + percent(baseline) + "%",
                    full.totalGoodput() >= baseline));
        });
        double load = loads.get(loads.size() - 1);
        double wasted = results.get(load).get(PolicySet.FULL).wastedPrefillShare();
        notes.add(target(
                load + "x", "wasted prefill " + percent(wasted) + "%, target under 2%", wasted < MAX_WASTED_PREFILL));
        return notes;
    }

    private static String highestTierTarget(String load, OutcomeCounts counts) {
        double goodput = counts.goodput(Tier.CRITICAL);
        return target(
                load,
                "highest tier " + percent(goodput) + "%, target at least 99%",
                goodput >= MIN_HIGHEST_TIER_GOODPUT);
    }

    private static String target(String load, String text, boolean met) {
        return load + ": " + text + ": " + (met ? "met" : "missed");
    }

    private Report.LineChart chart(Map<Double, Map<PolicySet, OutcomeCounts>> results) {
        List<Report.Series> series = new ArrayList<>();
        for (PolicySet policySet : PolicySet.values()) {
            for (Tier tier : Tier.values()) {
                List<Double> goodput = results.values().stream()
                        .map(countsByPolicySet ->
                                100 * countsByPolicySet.get(policySet).goodput(tier))
                        .toList();
                series.add(new Report.Series(policySet.label() + ", " + tier.lowerCaseName(), loads, goodput));
            }
        }
        return new Report.LineChart("by-tier", "load, multiple of capacity", "goodput, %", series);
    }

    private static String percent(double share) {
        return String.format(Locale.ROOT, "%.2f", 100 * share);
    }
}
