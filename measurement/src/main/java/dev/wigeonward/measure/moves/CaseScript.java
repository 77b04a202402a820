package dev.wigeonward.measure.moves;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Script of all events and parameters of one case, drawn from its seed.
 *
 * @param badRoute the only bad route, or empty if all are
 * @param badFromMillis time at which the new version turns bad
 * @param addedFailureShare increase of the failure share while the new version is bad
 * @param slowdown factor on the new version's times while it is bad
 * @param harmlessSlowdown factor on the new version's times at all times, within tolerance
 * @param spread standard deviation of the logarithm of normalized times
 * @param peaks times of high load on all upstreams
 * @param failureBursts disturbances in which both versions fail more often
 * @param slowBursts disturbances in which both versions are slower
 * @param storeOutage time in which the store does not answer
 * @param controllerCrashMillis time at which the lease holder dies without a restart; never if negative
 * @param controllerPause time in which the lease holder is paused
 * @param isolation time in which one entry receives nothing from the controller or other entries
 * @param agentRestartMillis time at which one agent restarts; never if negative
 */
record CaseScript(
        CaseKind kind,
        long seed,
        String badRoute,
        long badFromMillis,
        double addedFailureShare,
        double slowdown,
        double baseFailureShare,
        double harmlessSlowdown,
        double spread,
        List<Interval> peaks,
        List<Interval> failureBursts,
        List<Interval> slowBursts,
        Interval storeOutage,
        long controllerCrashMillis,
        Interval controllerPause,
        Interval isolation,
        long agentRestartMillis) {
    static final long DEADLINE_MILLIS = 480_000;
    /** End of each simulation: the deadline, the watch time of the standard settings, and time for outages. */
    static final long END_MILLIS = DEADLINE_MILLIS + 420_000;
    /** Maximum time simulated after completion, enough for watching with an outage during it. */
    static final long WATCH_MILLIS = 360_000;

    private static final long EVENTS_UNTIL_MILLIS = 360_000;
    private static final long NEVER_MILLIS = -1;

    static CaseScript of(CaseKind kind, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        boolean later = kind == CaseKind.FAILS_LATER || kind == CaseKind.SLOW_LATER;
        boolean slow = kind == CaseKind.SLOW_AT_ONCE
                || kind == CaseKind.SLOW_LATER
                || (kind == CaseKind.BAD_UNDER_LOAD || kind == CaseKind.BAD_ON_ONE_ROUTE) && random.nextBoolean();
        boolean oneRoute = kind == CaseKind.BAD_ON_ONE_ROUTE || kind == CaseKind.BAD_UNDER_LOAD && random.nextBoolean();
        boolean crash = random.nextInt(100) < 15;
        return new CaseScript(
                kind,
                seed,
                oneRoute ? Route.ALL.get(random.nextInt(Route.ALL.size())).name() : "",
                later ? random.nextLong(20_000, 300_000) : 0,
                kind.isBad() && !slow ? random.nextDouble(0.08, 0.6) : 0,
                kind.isBad() && slow ? random.nextDouble(1.6, 4) : 1,
                random.nextDouble(0.002, 0.02),
                random.nextDouble(0.9, 1.05),
                random.nextDouble(0.3, 0.6),
                peaks(random),
                bursts(random),
                bursts(random),
                random.nextInt(100) < 30 ? interval(random, 5_000, 40_000) : Interval.NONE,
                crash ? random.nextLong(EVENTS_UNTIL_MILLIS) : NEVER_MILLIS,
                !crash && random.nextInt(100) < 15 ? interval(random, 5_000, 30_000) : Interval.NONE,
                random.nextInt(100) < 30 ? interval(random, 10_000, 60_000) : Interval.NONE,
                random.nextInt(100) < 20 ? random.nextLong(EVENTS_UNTIL_MILLIS) : NEVER_MILLIS);
    }

    boolean isUnderLoad(long nowMillis) {
        return Interval.anyContains(peaks, nowMillis);
    }

    /** Returns whether the new version is bad on any route. */
    boolean isBadNow(long nowMillis) {
        return isBadNow(badRoute, nowMillis);
    }

    boolean isBadNow(String route, long nowMillis) {
        return kind.isBad()
                && nowMillis >= badFromMillis
                && (badRoute.isEmpty() || badRoute.equals(route))
                && (kind != CaseKind.BAD_UNDER_LOAD || isUnderLoad(nowMillis));
    }

    private static List<Interval> peaks(SplittableRandom random) {
        List<Interval> peaks = new ArrayList<>();
        long fromMillis = random.nextLong(20_000, 90_000);
        while (fromMillis < END_MILLIS) {
            long toMillis = fromMillis + random.nextLong(25_000, 45_000);
            peaks.add(new Interval(fromMillis, toMillis));
            fromMillis = toMillis + random.nextLong(50_000, 100_000);
        }
        return peaks;
    }

    private static List<Interval> bursts(SplittableRandom random) {
        List<Interval> bursts = new ArrayList<>();
        int count = random.nextInt(4);
        for (int i = 0; i < count; i++) {
            long fromMillis = random.nextLong(END_MILLIS);
            bursts.add(new Interval(fromMillis, fromMillis + random.nextLong(3_000, 10_000)));
        }
        return bursts;
    }

    private static Interval interval(SplittableRandom random, long minMillis, long maxMillis) {
        long fromMillis = random.nextLong(EVENTS_UNTIL_MILLIS);
        return new Interval(fromMillis, fromMillis + random.nextLong(minMillis, maxMillis));
    }
}
