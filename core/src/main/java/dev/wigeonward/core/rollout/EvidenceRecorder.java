package dev.wigeonward.core.rollout;

import java.util.HashMap;
import java.util.Map;

import com.google.common.base.Preconditions;

/** Counts at one agent what became of the requests of each version, route and load, since its start. */
public final class EvidenceRecorder {
    private static final int FIRST_FAILURE_STATUS = 500;

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
     * Counts a request that ended with a status.
     *
     * @param load part of the upstream's capacity in use when the request was handed over
     * @param serviceMillis estimated service time of the request alone
     */
    public void answered(
            ModelVersion version, String route, double load, int status, double elapsedMillis, long serviceMillis) {
        Preconditions.checkArgument(serviceMillis > 0, "serviceMillis is %s", serviceMillis);
        Counts counts = countsOf(version, route, load);
        counts.requests++;
        if (status >= FIRST_FAILURE_STATUS) {
            counts.failures++;
        } else {
            counts.times[TimeHistogram.bucketOf(elapsedMillis / serviceMillis)]++;
        }
    }

    /** Counts a request whose engine died, or that ended without an answer through the engine's fault. */
    public void died(ModelVersion version, String route, double load) {
        Counts counts = countsOf(version, route, load);
        counts.requests++;
        counts.failures++;
    }

    /** Returns the counters since the start. */
    public Map<Key, EvidenceCounters> counters() {
        Map<Key, EvidenceCounters> counters = new HashMap<>();
        countsByKey.forEach((key, counts) -> counters.put(
                key, new EvidenceCounters(counts.requests, counts.failures, TimeHistogram.of(counts.times))));
        return counters;
    }

    private Counts countsOf(ModelVersion version, String route, double load) {
        Key key = new Key(version, new RouteCell(route, load > loadThreshold));
        return countsByKey.computeIfAbsent(key, any -> new Counts());
    }

    /** What a pair of counters is kept for. */
    public record Key(ModelVersion version, RouteCell cell) {}

    private static final class Counts {
        private final long[] times = new long[TimeHistogram.BUCKETS];
        private long requests;
        private long failures;
    }
}
