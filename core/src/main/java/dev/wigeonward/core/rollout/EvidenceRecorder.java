package dev.wigeonward.core.rollout;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import com.google.common.base.Preconditions;

/**
 * Recorder of the outcomes of one agent's requests since its start, by version, route and load level.
 *
 * <p>Requests are counted in the order in which they started. If they were counted as they end, only slow requests
 * would remain at the end of each period of traffic, and a version whose share grows would seem to fail more often
 * because failures end early. In exchange, a long request delays the counting of those that started after it, up to a
 * limit.
 */
public final class EvidenceRecorder {
    private static final int FIRST_FAILURE_STATUS = 500;
    /** Number of estimated service times after which a running request is counted as slow. */
    private static final int MAX_SERVICE_TIMES = 8;
    /** Minimum of that limit, so that a short pause does not cause short requests to be counted as slow. */
    private static final long MIN_LIMIT_MILLIS = 2_000;

    private final double loadThreshold;
    private final Map<Key, OrderedCounts> countsByKey = new HashMap<>();

    /**
     * Creates an empty recorder.
     *
     * @param loadThreshold fraction of the upstream's capacity in use above which requests count as under load
     */
    public EvidenceRecorder(double loadThreshold) {
        Preconditions.checkArgument(loadThreshold > 0, "loadThreshold must be positive, but is %s", loadThreshold);
        this.loadThreshold = loadThreshold;
    }

    /**
     * Registers a request that is passed to the engine, and returns the observation on which to report its end.
     *
     * @param load fraction of the upstream's capacity in use
     * @param serviceMillis estimated service time of the request on an otherwise idle upstream
     */
    public Observation start(ModelVersion version, String route, double load, long serviceMillis, long nowMillis) {
        Preconditions.checkArgument(serviceMillis > 0, "serviceMillis must be positive, but is %s", serviceMillis);
        Key key = new Key(version, new RouteLoadKey(route, load > loadThreshold));
        Observation observation = new Observation(nowMillis, serviceMillis);
        countsByKey.computeIfAbsent(key, any -> new OrderedCounts()).started.add(observation);
        return observation;
    }

    /** Counts the requests that ended or exceeded the limit, and returns the counters since the start. */
    public Map<Key, EvidenceCounters> counters(long nowMillis) {
        Map<Key, EvidenceCounters> counters = new HashMap<>();
        countsByKey.forEach((key, counts) -> counters.put(key, counts.countSettled(nowMillis)));
        return counters;
    }

    /** Version, route and load level for which counters are kept. */
    public record Key(ModelVersion version, RouteLoadKey cell) {}

    /** The observation of one request at the engine; the first reported end counts. */
    public static final class Observation {
        private final long startMillis;
        private final long serviceMillis;
        private long endMillis = -1;
        private boolean failed;
        private boolean excluded;

        private Observation(long startMillis, long serviceMillis) {
            this.startMillis = startMillis;
            this.serviceMillis = serviceMillis;
        }

        /** Reports that the request was answered with the status. */
        public void answered(int status, long nowMillis) {
            end(status >= FIRST_FAILURE_STATUS, false, nowMillis);
        }

        /** Reports that the engine died or ended the request without an answer. */
        public void failed(long nowMillis) {
            end(true, false, nowMillis);
        }

        /** Reports that the request was cancelled or never reached the engine, which excludes it from the counters. */
        public void cancelled(long nowMillis) {
            end(false, true, nowMillis);
        }

        /**
         * Records the end unless one is already recorded: a cancelled request is also reported as broken off, and a
         * dead engine ends a request twice.
         */
        private void end(boolean isFailure, boolean isExcluded, long nowMillis) {
            if (endMillis >= 0) {
                return;
            }
            endMillis = nowMillis;
            failed = isFailure;
            excluded = isExcluded;
        }

        private boolean isSettled(long nowMillis) {
            long limitMillis = Math.max(MIN_LIMIT_MILLIS, MAX_SERVICE_TIMES * serviceMillis);
            return endMillis >= 0 || nowMillis - startMillis >= limitMillis;
        }
    }

    private static final class OrderedCounts {
        private final Deque<Observation> started = new ArrayDeque<>();
        private final long[] times = new long[TimeHistogram.BUCKETS];
        private long requests;
        private long failures;

        EvidenceCounters countSettled(long nowMillis) {
            while (!started.isEmpty() && started.peek().isSettled(nowMillis)) {
                count(started.remove(), nowMillis);
            }
            return new EvidenceCounters(requests, failures, TimeHistogram.of(times));
        }

        private void count(Observation observation, long nowMillis) {
            if (observation.excluded) {
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
