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

import dev.wigeonward.core.rollout.RouteEvaluation.Verdict;

/**
 * Evidence on one rollout, collected per route and load level in windows that restart after each good verdict.
 *
 * <p>Windows restart because a long run of good results would otherwise hide a version that turns bad later.
 */
final class RolloutEvidence {
    private static final Comparator<RouteLoadKey> KEY_ORDER =
            Comparator.comparing(RouteLoadKey::route).thenComparing(RouteLoadKey::underLoad);

    private static final long NOT_SUSPECT = Long.MAX_VALUE;
    /** Minimum length of a window. In a shorter one an old version with a small share serves too few requests. */
    private static final long MIN_WINDOW_MILLIS = 10_000;

    /** Log-likelihood ratio since the start of a load test that speaks against the version: a ratio of 20 to 1. */
    private static final double MAX_LOAD_TEST_LOG_RATIO = Math.log(20);

    private final String oldVersion;
    private final String newVersion;
    private final long confirmMillis;
    private final Map<Source, EvidenceCounters> reported = new HashMap<>();
    private final Map<RouteLoadKey, Window> windows = new TreeMap<>(KEY_ORDER);
    private final SlownessDetector slowness;

    /**
     * Creates empty evidence.
     *
     * @param confirmMillis time for which a route must look bad before the version is called bad when there is no
     *     recent evidence of the old version to compare with
     */
    RolloutEvidence(String oldVersion, String newVersion, long confirmMillis) {
        this.confirmMillis = confirmMillis;
        this.slowness = new SlownessDetector(confirmMillis);
        this.oldVersion = oldVersion;
        this.newVersion = newVersion;
    }

    /** Adds the increase of the reported counters since the last report of the same source. */
    void add(ControllerEvent.EvidenceReported report, long nowMillis) {
        String version = report.version().version();
        if (!version.equals(oldVersion) && !version.equals(newVersion)) {
            return;
        }
        Source source = new Source(report.upstreamId(), report.incarnation(), version, report.cell());
        EvidenceCounters before = reported.put(source, report.counters());
        if (before == null && version.equals(oldVersion)) {
            // The first report of the old version may cover days before the rollout, so only later increases count.
            return;
        }
        EvidenceCounters added =
                before == null ? report.counters() : report.counters().minus(before);
        Window window = windows.computeIfAbsent(report.cell(), Window::new);
        if (version.equals(oldVersion)) {
            window.recentOld = window.recentOld.plus(added);
            window.earlierOld = window.earlierOld.plus(added);
            slowness.addOld(report.cell(), added.times(), nowMillis);
        } else {
            window.newEvidence = window.newEvidence.plus(added);
            window.loadTestEvidence = window.loadTestEvidence.plus(added);
            window.failureSum.add(earlierBaseline(window), added);
            slowness.addNew(report.cell(), added.times(), nowMillis);
            if (added.requests() > 0) {
                window.lastEvidenceMillis = nowMillis;
            }
        }
    }

    /** Evaluates all routes and returns the reason if the new version is bad. */
    Optional<String> evaluate(VersionEvaluator evaluator, boolean truncated, long nowMillis) {
        Optional<String> slow = slowness.evaluate(evaluator.badBound(), nowMillis);
        if (slow.isPresent()) {
            return slow.map(reason -> "all routes: " + reason);
        }
        for (Window window : windows.values()) {
            if (window.newEvidence.requests() == 0 && !truncated) {
                continue;
            }
            RouteEvaluation evaluation = evaluator.evaluate(
                    window.key, window.recentOld, earlierBaseline(window), window.newEvidence, truncated);
            window.lastEvaluation = evaluation;
            if (evaluation.verdict() == Verdict.BAD) {
                if (evaluator.needsNoConfirmation(window.recentOld, window.newEvidence)
                        || window.markSuspect(nowMillis) >= confirmMillis) {
                    return Optional.of(describe(evaluation));
                }
                // Only requests counted after the route became suspect can confirm the verdict.
                window.restart(nowMillis);
            }
            if (evaluation.verdict() == Verdict.GOOD) {
                window.passed = true;
                window.suspectSinceMillis = NOT_SUSPECT;
                if (truncated || nowMillis - window.startMillis >= MIN_WINDOW_MILLIS) {
                    window.restart(nowMillis);
                }
            }
        }
        return Optional.empty();
    }

    private static String describe(RouteEvaluation evaluation) {
        String load = evaluation.cell().underLoad() ? " under load: " : ": ";
        return "route " + evaluation.cell().route() + load + evaluation.reason();
    }

    /** Returns whether a route with recent requests, or all routes together, look bad, but that is not confirmed. */
    boolean isSuspect(long nowMillis) {
        return slowness.isSuspect()
                || windows.values().stream()
                        .anyMatch(window -> window.suspectSinceMillis != NOT_SUSPECT
                                && nowMillis - window.lastEvidenceMillis <= confirmMillis);
    }

    /** Returns whether nothing looks bad, and the times of all routes together look good. */
    boolean looksGood(long nowMillis) {
        return slowness.looksGood() && !isSuspect(nowMillis);
    }

    /** Returns whether each known route got a good verdict since the stage started, at either load level. */
    boolean allRoutesPassed() {
        Set<String> routes = new HashSet<>();
        Set<String> passed = new HashSet<>();
        for (Window window : windows.values()) {
            routes.add(window.key.route());
            if (window.passed) {
                passed.add(window.key.route());
            }
        }
        return !routes.isEmpty() && passed.containsAll(routes);
    }

    /**
     * Restarts all windows and requires a new good verdict for each route. Earlier evidence is discarded because the
     * versions had different shares then, and a disturbance would affect their counts to different degrees.
     */
    void startStage(long nowMillis) {
        windows.values().forEach(window -> {
            window.passed = false;
            window.loadTestEvidence = EvidenceCounters.empty();
            window.failureSum = new FailureSum();
            window.restart(nowMillis);
        });
    }

    /** Starts a stage that is too short for the usual verdicts, see {@link #loadTestObjection}. */
    void startLoadTest(long nowMillis) {
        startStage(nowMillis);
        slowness.startLoadTest();
    }

    /** Returns the number of the new version's requests that were counted since the load test started. */
    long loadTestRequests() {
        return windows.values().stream()
                .mapToLong(window -> window.loadTestEvidence.requests())
                .sum();
    }

    /**
     * Returns what speaks against the new version in the evidence since the load test started. Unlike a verdict it
     * needs no confirmation, because a load test is too short for one.
     */
    Optional<String> loadTestObjection(VersionEvaluator evaluator) {
        for (Window window : windows.values()) {
            double logRatio = Math.max(
                    evaluator.failureLogRatio(earlierBaseline(window), window.loadTestEvidence),
                    window.failureSum.peakLogRatio() >= evaluator.badBound() ? evaluator.badBound() : 0);
            if (logRatio >= MAX_LOAD_TEST_LOG_RATIO) {
                return Optional.of("route %s: failures %d of %d: log ratio %.1f >= %.1f"
                        .formatted(
                                window.key.route(),
                                window.loadTestEvidence.failures(),
                                window.loadTestEvidence.requests(),
                                logRatio,
                                MAX_LOAD_TEST_LOG_RATIO));
            }
        }
        return slowness.loadTestObjection().map(reason -> "all routes: " + reason);
    }

    /** Returns the last evaluation of each route and load level that has one. */
    List<RouteEvaluation> evaluations() {
        List<RouteEvaluation> evaluations = new ArrayList<>();
        for (Window window : windows.values()) {
            if (window.lastEvaluation != null) {
                evaluations.add(window.lastEvaluation);
            }
        }
        return evaluations;
    }

    /**
     * Returns the old version's evidence since the rollout began, for comparison where the recent evidence is small. A
     * loaded route without such evidence falls back to the failures of the unloaded route; the times measured without
     * load are not comparable and are omitted.
     */
    private EvidenceCounters earlierBaseline(Window window) {
        if (window.earlierOld.requests() > 0 || !window.key.underLoad()) {
            return window.earlierOld;
        }
        Window unloaded = windows.get(new RouteLoadKey(window.key.route(), false));
        if (unloaded == null) {
            return window.earlierOld;
        }
        EvidenceCounters old = unloaded.earlierOld;
        return new EvidenceCounters(old.requests(), old.failures(), TimeHistogram.empty());
    }

    private record Source(String upstreamId, long incarnation, String version, RouteLoadKey key) {}

    private static final class Window {
        private final RouteLoadKey key;
        private EvidenceCounters recentOld = EvidenceCounters.empty();
        private EvidenceCounters earlierOld = EvidenceCounters.empty();
        private EvidenceCounters newEvidence = EvidenceCounters.empty();
        private EvidenceCounters loadTestEvidence = EvidenceCounters.empty();
        private FailureSum failureSum = new FailureSum();
        private RouteEvaluation lastEvaluation;
        private boolean passed;
        private long startMillis;
        private long lastEvidenceMillis;
        private long suspectSinceMillis = NOT_SUSPECT;

        Window(RouteLoadKey key) {
            this.key = key;
        }

        /** Marks the window as suspect, if it is not yet, and returns for how many milliseconds it has been so. */
        long markSuspect(long nowMillis) {
            suspectSinceMillis = Math.min(suspectSinceMillis, nowMillis);
            return nowMillis - suspectSinceMillis;
        }

        /** Discards the recent evidence; the old version's earlier evidence is kept. */
        void restart(long nowMillis) {
            recentOld = EvidenceCounters.empty();
            newEvidence = EvidenceCounters.empty();
            startMillis = nowMillis;
        }
    }
}
