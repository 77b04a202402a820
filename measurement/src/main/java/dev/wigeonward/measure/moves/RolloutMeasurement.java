package dev.wigeonward.measure.moves;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.IntStream;

import dev.wigeonward.measure.Measurement;
import dev.wigeonward.measure.Report;

/** Measurement of rollouts of good and bad versions under faults, compared with steps at fixed times. */
public final class RolloutMeasurement implements Measurement {
    private static final int GOOD_CASES = 200;
    private static final int CASES_OF_EACH_BAD_KIND = 50;
    private static final double MAX_EARLY_SHARE = 0.02;
    private static final double MIN_ON_TIME = 0.99;
    /** Distance between the seeds of different kinds, so that they do not overlap. */
    private static final long KIND_STRIDE = 1_000_003;

    private final int goodCases;
    private final int badCases;

    public RolloutMeasurement() {
        this(GOOD_CASES, CASES_OF_EACH_BAD_KIND);
    }

    RolloutMeasurement(int goodCases, int badCases) {
        this.goodCases = goodCases;
        this.badCases = badCases;
    }

    @Override
    public String name() {
        return "moves";
    }

    @Override
    public String description() {
        return "version moves: rollbacks, completions and exposure, in cases, requests and seconds";
    }

    @Override
    public Report run(long seed) {
        List<List<String>> rows = new ArrayList<>();
        List<CaseResult> controlled = new ArrayList<>();
        List<Report.Series> series = new ArrayList<>();
        for (CaseKind kind : CaseKind.values()) {
            List<CaseResult> results = simulate(kind, seed, RolloutCase::simulateControlled);
            List<CaseResult> fixed = simulate(kind, seed, RolloutCase::simulateFixed);
            controlled.addAll(results);
            rows.add(row(kind, "evidence", results));
            rows.add(row(kind, "steps by time", fixed));
            if (kind == CaseKind.GOOD || kind == CaseKind.FAILS_LATER) {
                series.add(series(kind.label() + ", evidence", results.get(0)));
                series.add(series(kind.label() + ", steps by time", fixed.get(0)));
            }
        }
        return new Report(
                List.of(
                        "case kind",
                        "rollout",
                        "cases",
                        "rolled back",
                        "completed on time",
                        "false rollbacks",
                        "missed bad",
                        "largest share before first verdict, %",
                        "requests to bad version within 2 s of verdict",
                        "later, reachable entry",
                        "later than 10 s, unreachable entry",
                        "median time to verdict, s"),
                rows,
                notes(controlled),
                true,
                List.of(new Report.LineChart("share", "time since rule, s", "share of requests, %", series)));
    }

    private List<CaseResult> simulate(CaseKind kind, long seed, Function<CaseScript, CaseResult> simulation) {
        int cases = kind.isBad() ? badCases : goodCases;
        // Cases share no state, so their results do not depend on how they are distributed over threads.
        return IntStream.range(0, cases)
                .parallel()
                .mapToObj(i -> CaseScript.of(kind, seed * KIND_STRIDE * KIND_STRIDE + kind.ordinal() * KIND_STRIDE + i))
                .map(simulation)
                .toList();
    }

    private static List<String> row(CaseKind kind, String rollout, List<CaseResult> results) {
        return List.of(
                kind.label(),
                rollout,
                String.valueOf(results.size()),
                String.valueOf(count(results, CaseResult::isRolledBack)),
                String.valueOf(count(results, CaseResult::isCompletedOnTime)),
                String.valueOf(count(results, CaseResult::isFalselyRolledBack)),
                kind.isBad() ? String.valueOf(count(results, result -> !result.isRolledBack())) : "-",
                format("%.2f", 100 * largestEarlyShare(results)),
                kind.isBad() ? sum(results, CaseResult::soonAfterVerdict) : "-",
                kind.isBad() ? sum(results, CaseResult::laterReachable) : "-",
                kind.isBad() ? sum(results, CaseResult::laterUnreachable) : "-",
                kind.isBad() ? medianSecondsToVerdict(results) : "-");
    }

    private static List<String> notes(List<CaseResult> results) {
        List<CaseResult> good = results.stream()
                .filter(result -> !result.script().kind().isBad())
                .toList();
        List<CaseResult> bad = results.stream()
                .filter(result -> result.script().kind().isBad())
                .toList();
        long onTime = count(good, CaseResult::isCompletedOnTime);
        long late = bad.stream()
                .mapToLong(result -> result.laterReachable() + result.laterUnreachable())
                .sum();
        long missed = count(bad, result -> !result.isRolledBack());
        long refused = results.stream().mapToLong(CaseResult::refusedRequests).sum();
        return List.of(
                format(
                        "every bad version rolled back: %d of %d: %s",
                        bad.size() - missed, bad.size(), metOrMissed(missed == 0)),
                format(
                        "at least 99%% of good versions on time: %d of %d (%.1f%%): %s",
                        onTime,
                        good.size(),
                        100.0 * onTime / good.size(),
                        metOrMissed(onTime >= MIN_ON_TIME * good.size())),
                format(
                        "at most 2%% of a route's requests before the first verdict: %.2f%%: %s",
                        100 * largestEarlyShare(results), metOrMissed(largestEarlyShare(results) <= MAX_EARLY_SHARE)),
                format("no request to a bad version after the limits: %d: %s", late, metOrMissed(late == 0)),
                format("requests refused because no version was allowed: %d", refused),
                "time to verdict counts from when the new version is loaded and bad on some route, exposed or not",
                "bad means 8 to 60 points more failures, or 1.6 to 4 times as slow; later is 20 to 300 s after "
                        + "the rule",
                "good means up to 5% slower; both versions fail 0.2 to 2%, with peaks of load and bursts of up to "
                        + "10 s",
                "of all cases 30% have a store outage of 5 to 40 s, 15% lose the controller, about 13% pause it for 5 "
                        + "to 30 s, 30% isolate an entry for 10 to 60 s, 20% restart an agent; 5% of store replies "
                        + "are lost",
                "the deadline is 480 s after the rule; steps by time take 100 s each and need no store or controller");
    }

    private static Report.Series series(String name, CaseResult result) {
        List<Double> seconds = new ArrayList<>();
        List<Double> percent = new ArrayList<>();
        for (int i = 0; i < result.shares().size(); i++) {
            seconds.add(i * RolloutCase.SHARE_PERIOD_MILLIS / 1_000.0);
            percent.add(100 * result.shares().get(i));
        }
        return new Report.Series(name, seconds, percent);
    }

    private static double largestEarlyShare(List<CaseResult> results) {
        return results.stream().mapToDouble(CaseResult::largestEarlyShare).max().orElse(0);
    }

    private static String medianSecondsToVerdict(List<CaseResult> results) {
        long[] millis = results.stream()
                .filter(result -> result.isRolledBack() && !result.isFalselyRolledBack())
                .mapToLong(result -> result.verdictMillis() - result.badSinceMillis())
                .sorted()
                .toArray();
        return millis.length == 0 ? "-" : format("%.1f", millis[millis.length / 2] / 1_000.0);
    }

    private static long count(List<CaseResult> results, Predicate<CaseResult> predicate) {
        return results.stream().filter(predicate).count();
    }

    private static String sum(List<CaseResult> results, Function<CaseResult, Long> figure) {
        return String.valueOf(results.stream().mapToLong(figure::apply).sum());
    }

    private static String metOrMissed(boolean isMet) {
        return isMet ? "met" : "missed";
    }

    private static String format(String pattern, Object... arguments) {
        return String.format(Locale.ROOT, pattern, arguments);
    }
}
