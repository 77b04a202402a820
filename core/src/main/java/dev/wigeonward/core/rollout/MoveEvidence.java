package dev.wigeonward.core.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import dev.wigeonward.core.rollout.RouteJudgement.Verdict;

/**
 * Evidence on one move, gathered in a window for each route that starts anew after each pass.
 *
 * <p>A window that never restarted would let a long good start hide a version that turns bad later.
 */
final class MoveEvidence {
    private static final Comparator<RouteCell> CELL_ORDER =
            Comparator.comparing(RouteCell::route).thenComparing(RouteCell::underLoad);

    private static final long NEVER = Long.MAX_VALUE;
    /** Shorter windows would hold too few requests of the old version to compare with when it has a small share. */
    private static final long MIN_WINDOW_MILLIS = 10_000;

    private final String oldVersion;
    private final String newVersion;
    private final long confirmMillis;
    private final Map<Source, EvidenceCounters> reported = new HashMap<>();
    private final Map<RouteCell, Window> windows = new TreeMap<>(CELL_ORDER);

    /**
     * Creates evidence of nothing.
     *
     * @param confirmMillis time for which a route has to look bad when nothing of the old version is there to compare
     */
    MoveEvidence(String oldVersion, String newVersion, long confirmMillis) {
        this.confirmMillis = confirmMillis;
        this.oldVersion = oldVersion;
        this.newVersion = newVersion;
    }

    void add(ControllerEvent.EvidenceReported report, long nowMillis) {
        String version = report.version().version();
        if (!version.equals(oldVersion) && !version.equals(newVersion)) {
            return;
        }
        Source source = new Source(report.upstreamId(), report.incarnation(), version, report.cell());
        EvidenceCounters before = reported.put(source, report.counters());
        if (before == null && version.equals(oldVersion)) {
            // Counters of the old version may go back for days; only what follows is comparable.
            return;
        }
        EvidenceCounters added =
                before == null ? report.counters() : report.counters().minus(before);
        Window window = windows.computeIfAbsent(report.cell(), Window::new);
        if (version.equals(oldVersion)) {
            window.recentOld = window.recentOld.plus(added);
            window.earlierOld = window.earlierOld.plus(added);
        } else {
            window.newEvidence = window.newEvidence.plus(added);
            if (added.requests() > 0) {
                window.lastEvidenceMillis = nowMillis;
            }
        }
    }

    /** Judges all routes and returns the first bad one, if any. */
    Optional<RouteJudgement> judge(VersionJudge judge, boolean truncated, long nowMillis) {
        for (Window window : windows.values()) {
            if (window.newEvidence.requests() == 0 && !truncated) {
                continue;
            }
            RouteJudgement judgement =
                    judge.judge(window.cell, window.recentOld, comparable(window), window.newEvidence, truncated);
            window.last = judgement;
            if (judgement.verdict() == Verdict.BAD) {
                if (judge.needsNoConfirmation(window.recentOld, window.newEvidence)
                        || window.suspectFor(nowMillis) >= confirmMillis) {
                    return Optional.of(judgement);
                }
                // Only requests that ended after the suspicion arose can confirm it.
                window.restart(nowMillis);
            }
            if (judgement.verdict() == Verdict.GOOD) {
                window.passed = true;
                window.suspectSinceMillis = NEVER;
                if (truncated || nowMillis - window.startMillis >= MIN_WINDOW_MILLIS) {
                    window.restart(nowMillis);
                }
            }
        }
        return Optional.empty();
    }

    /** Returns whether a route that still gets requests looks bad, but not yet for long enough to be called bad. */
    boolean isSuspect(long nowMillis) {
        return windows.values().stream()
                .anyMatch(window ->
                        window.suspectSinceMillis != NEVER && nowMillis - window.lastEvidenceMillis <= confirmMillis);
    }

    /** Returns whether each route with requests passed since the stage started, loaded or not. */
    boolean allRoutesPassed() {
        Set<String> routes = new HashSet<>();
        Set<String> passed = new HashSet<>();
        for (Window window : windows.values()) {
            routes.add(window.cell.route());
            if (window.passed) {
                passed.add(window.cell.route());
            }
        }
        return !routes.isEmpty() && passed.containsAll(routes);
    }

    /**
     * Asks each route to pass again. Evidence of before is left out, because the versions had other shares then and
     * would show a disturbance to different degrees.
     */
    void startStage(long nowMillis) {
        windows.values().forEach(window -> {
            window.passed = false;
            window.restart(nowMillis);
        });
    }

    /** Returns the last judgement of each route, loaded or not. */
    List<RouteJudgement> judgements() {
        List<RouteJudgement> judgements = new ArrayList<>();
        for (Window window : windows.values()) {
            if (window.last != null) {
                judgements.add(window.last);
            }
        }
        return judgements;
    }

    /** Under load the old version's failures of the unloaded route still say something; its times do not. */
    private EvidenceCounters comparable(Window window) {
        if (window.earlierOld.requests() > 0 || !window.cell.underLoad()) {
            return window.earlierOld;
        }
        Window unloaded = windows.get(new RouteCell(window.cell.route(), false));
        if (unloaded == null) {
            return window.earlierOld;
        }
        EvidenceCounters old = unloaded.earlierOld;
        return new EvidenceCounters(old.requests(), old.failures(), TimeHistogram.empty());
    }

    private record Source(String upstreamId, long incarnation, String version, RouteCell cell) {}

    private static final class Window {
        private final RouteCell cell;
        private EvidenceCounters recentOld = EvidenceCounters.empty();
        private EvidenceCounters earlierOld = EvidenceCounters.empty();
        private EvidenceCounters newEvidence = EvidenceCounters.empty();
        private RouteJudgement last;
        private boolean passed;
        private long startMillis;
        private long lastEvidenceMillis;
        private long suspectSinceMillis = NEVER;

        Window(RouteCell cell) {
            this.cell = cell;
        }

        long suspectFor(long nowMillis) {
            suspectSinceMillis = Math.min(suspectSinceMillis, nowMillis);
            return nowMillis - suspectSinceMillis;
        }

        void restart(long nowMillis) {
            recentOld = EvidenceCounters.empty();
            newEvidence = EvidenceCounters.empty();
            startMillis = nowMillis;
        }
    }
}
