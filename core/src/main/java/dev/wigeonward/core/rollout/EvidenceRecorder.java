package dev.wigeonward.core.rollout;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import com.google.common.base.Preconditions;

/**
 * Counts at one agent what became of the requests of each version, route and load, since its start.
 *
 * <p>Requests enter the counters in the order in which they started. Counted as they end, the slow ones would stay
 * alone at the end of each period of traffic, and a version whose share grows would seem to fail more because failures
 * end early. The price is that a long request holds back those that started after it, up to a limit.
 */
public final class EvidenceRecorder {
    private static final int FIRST_FAILURE_STATUS = 500;
    /** A request that runs longer than this many service times counts as slow at once. */
    private static final int LONGEST_SERVICE_TIMES = 8;
    /** Keeps short requests from being counted as slow because of a short pause. */
    private static final long SHORTEST_LIMIT_MILLIS = 2_000;

    private final double loadThreshold;
    private final Map<Key, Counts> countsByKey = new HashMap<>();

    /**
     * Creates an empty recorder.
     *
     * @param loadThreshold part of the upstream's capacity in use above which requests are counted as under load
     */
    public EvidenceRecorder(double loadThreshold) {
        Preconditions.checkArgument(loadThreshold > 0, "loadThreshold is %s", loadThreshold);
        this.loadThreshold = loadThreshold;
    }

    /**
     * Counts a request that is handed to the engine, and returns its observation, to be ended once.
     *
     * @param load part of the upstream's capacity in use
     * @param serviceMillis estimated service time of the request alone
     */
    public Observation started(ModelVersion version, String route, double load, long serviceMillis, long nowMillis) {
        Preconditions.checkArgument(serviceMillis > 0, "serviceMillis is %s", serviceMillis);
        Key key = new Key(version, new RouteCell(route, load > loadThreshold));
        Observation observation = new Observation(nowMillis, serviceMillis);
        countsByKey.computeIfAbsent(key, any -> new Counts()).started.add(observation);
        return observation;
    }

    /** Returns the counters since the start. */
    public Map<Key, EvidenceCounters> counters(long nowMillis) {
        Map<Key, EvidenceCounters> counters = new HashMap<>();
        countsByKey.forEach((key, counts) -> counters.put(key, counts.settle(nowMillis)));
        return counters;
    }

    /** What a pair of counters is kept for. */
    public record Key(ModelVersion version, RouteCell cell) {}

    /** One request at the engine. */
    public static final class Observation {
        private final long startMillis;
        private final long serviceMillis;
        private long endMillis = -1;
        private boolean failed;
        private boolean dropped;

        private Observation(long startMillis, long serviceMillis) {
            this.startMillis = startMillis;
            this.serviceMillis = serviceMillis;
        }

        /** The request was answered with a status. */
        public void answered(int status, long nowMillis) {
            end(status >= FIRST_FAILURE_STATUS, false, nowMillis);
        }

        /** The engine died, or ended the request without an answer. */
        public void died(long nowMillis) {
            end(true, false, nowMillis);
        }

        /** The request was cancelled or never reached the engine; it says nothing of the version. */
        public void cancelled(long nowMillis) {
            end(false, true, nowMillis);
        }

        /** The first end counts: a cancelled request also breaks off, and a dead engine ends a request twice. */
        private void end(boolean isFailure, boolean isDropped, long nowMillis) {
            if (endMillis >= 0) {
                return;
            }
            endMillis = nowMillis;
            failed = isFailure;
            dropped = isDropped;
        }

        private boolean isSettled(long nowMillis) {
            long limitMillis = Math.max(SHORTEST_LIMIT_MILLIS, LONGEST_SERVICE_TIMES * serviceMillis);
            return endMillis >= 0 || nowMillis - startMillis >= limitMillis;
        }
    }

    private static final class Counts {
        private final Deque<Observation> started = new ArrayDeque<>();
        private final long[] times = new long[TimeHistogram.BUCKETS];
        private long requests;
        private long failures;

        EvidenceCounters settle(long nowMillis) {
            while (!started.isEmpty() && started.peek().isSettled(nowMillis)) {
                count(started.remove(), nowMillis);
            }
            return new EvidenceCounters(requests, failures, TimeHistogram.of(times));
        }

        private void count(Observation observation, long nowMillis) {
            if (observation.dropped) {
                return;
            }
            requests++;
            if (observation.failed) {
                failures++;
                return;
            }
            long endMillis = observation.endMillis >= 0 ? observation.endMillis : nowMillis;
            double elapsedMillis = endMillis - observation.startMillis;
            times[TimeHistogram.bucketOf(elapsedMillis / observation.serviceMillis)]++;
        }
    }
}
