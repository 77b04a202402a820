package dev.wigeonward.measure.store;

import java.util.List;

import dev.wigeonward.common.store.ControllerLease;
import dev.wigeonward.common.store.StoreOptions;

/** Computes the calls per second of each role at target size from the intervals in the code and the design figures. */
final class RoleCalls {
    private static final double ENTRIES = 1_400;
    private static final double READERS = 22;
    private static final double RESTARTS_PER_DAY = 4_300;
    private static final double CHANGES_PER_DAY = 5_900;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final double SECONDS_PER_HOUR = 3_600;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double SPEND_INTERVAL_SECONDS = 30;
    private static final double WRITES_AVAILABLE_PER_SECOND = 300;
    /** Calls for a claim that is not grouped with others: one to create it, one to store its outcome. */
    private static final double CALLS_PER_CLAIM_ALONE = 2;

    private RoleCalls() {}

    /** Returns a line for each kind of call, and one for the claims that the remaining writes allow. */
    static List<String> atTargetSize() {
        double watches = READERS / (StoreOptions.WATCH_IDLE.defaultValue().orElseThrow() / MILLIS_PER_SECOND);
        double candidates = READERS / (ControllerLease.POLL_MILLIS / MILLIS_PER_SECOND);
        double renewals = 1 / (ControllerLease.RENEWAL_MILLIS / MILLIS_PER_SECOND);
        double hourlyLeases = ENTRIES / SECONDS_PER_HOUR;
        double spend = ENTRIES / SPEND_INTERVAL_SECONDS;
        double operators = 2 * CHANGES_PER_DAY / SECONDS_PER_DAY;
        double agents = RESTARTS_PER_DAY / SECONDS_PER_DAY;
        double writes = renewals + hourlyLeases + spend + operators;
        return List.of(
                line("%.1f reads/s: 22 readers open an idle watch again (22 watches wait)", watches),
                line("%.1f reads/s: 22 candidates read the controller key", candidates),
                line("%.3f reads/s: agents read the controller key after a restart, at most", agents),
                line("%.2f writes/s: the controller renews its lease", renewals),
                line("%.2f writes/s: 1,400 entries grant their hourly claim lease", hourlyLeases),
                line("%.1f writes/s: 1,400 entries write their spend counters", spend),
                line("%.2f writes/s: operators' changes, one write of the history and one of the head", operators),
                line(
                        "%.0f claims/s in the whole fleet fit into the rest of 300 writes/s if no groups form",
                        (WRITES_AVAILABLE_PER_SECOND - writes) / CALLS_PER_CLAIM_ALONE));
    }

    private static String line(String pattern, double value) {
        return "Computed at target size: " + StoreCallsMeasurement.format(pattern, value) + ".";
    }
}
