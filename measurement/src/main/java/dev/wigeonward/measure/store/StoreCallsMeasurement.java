package dev.wigeonward.measure.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import dev.wigeonward.measure.Measurement;
import dev.wigeonward.measure.Report;

/**
 * Measures the calls and latency of claims and their outcomes with the production client and the key-value stand-in, by
 * group size and by arrival rate.
 */
public final class StoreCallsMeasurement implements Measurement {
    private static final List<Integer> GROUP_SIZES = List.of(1, 2, 4, 8, 16, 32, 64);
    private static final int CLAIMS = 4_000;
    private static final List<Double> CLAIM_RATES_PER_ENTRY = List.of(0.1, 1.0, 68.0);

    @Override
    public String name() {
        return "store-calls";
    }

    @Override
    public String description() {
        return "key-value calls per claim with its outcome, claims/s over loopback, calls/s by role";
    }

    @Override
    public Report run(long seed) {
        List<List<String>> rows = new ArrayList<>();
        List<Double> callsPerClaim = new ArrayList<>();
        boolean valid = true;
        for (int groupSize : GROUP_SIZES) {
            ClaimLoad.Result result = ClaimLoad.closedLoop(seed, groupSize, CLAIMS);
            valid &= result.granted() == CLAIMS && result.recorded() == CLAIMS;
            callsPerClaim.add(result.callsPerClaim());
            rows.add(row("closed loop, groups up to " + groupSize, result));
        }
        for (double rate : CLAIM_RATES_PER_ENTRY) {
            ClaimLoad.Result result = ClaimLoad.openLoop(seed, rate);
            valid &= result.granted() == result.claims() && result.recorded() == result.claims();
            rows.add(row(format("open loop, %.1f claims/s at one entry", rate), result));
        }
        List<String> notes = new ArrayList<>();
        notes.add("A claim is created and its outcome recorded: two writes, each in a group with others.");
        notes.add("Rates and latencies depend on the machine; open loop: random arrivals, groups of up to 64 in 2 ms.");
        notes.addAll(RoleCalls.atTargetSize());
        return new Report(
                List.of("load", "claims", "transactions", "calls per claim", "claims/s", "p50 ms", "p99 ms"),
                rows,
                notes,
                valid,
                List.of(new Report.LineChart(
                        "calls-per-claim",
                        "largest group",
                        "calls per claim",
                        List.of(new Report.Series(
                                "closed loop",
                                GROUP_SIZES.stream().map(Integer::doubleValue).toList(),
                                callsPerClaim)))));
    }

    private static List<String> row(String load, ClaimLoad.Result result) {
        return List.of(
                load,
                Integer.toString(result.claims()),
                Long.toString(result.transactions()),
                format("%.3f", result.callsPerClaim()),
                format("%.0f", result.claimsPerSecond()),
                format("%.2f", result.medianMillis()),
                format("%.2f", result.percentile99Millis()));
    }

    static String format(String pattern, Object... values) {
        return String.format(Locale.ROOT, pattern, values);
    }
}
