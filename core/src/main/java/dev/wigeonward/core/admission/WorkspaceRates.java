package dev.wigeonward.core.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

import com.google.common.base.Preconditions;

/**
 * Token buckets for each workspace's requests and tokens per second. The rules give the rate over all entries; each
 * entry allows its equal part, since callers reach entries at random through the load balancer. Thread-safe.
 */
public final class WorkspaceRates {
    private static final double MILLIS_PER_SECOND = 1_000;
    /** Lets a part below one request per second still pass single requests. */
    private static final double MIN_BURST = 1;

    private final Map<String, Bucket> requests = new HashMap<>();
    private final Map<String, Bucket> tokens = new HashMap<>();
    private int entries = 1;

    /** Sets over how many entries the rates are divided; 0 counts as 1. */
    public synchronized void setEntries(int count) {
        Preconditions.checkArgument(count >= 0, "count is %s", count);
        entries = Math.max(1, count);
    }

    /** Returns whether a request of so many tokens is within both rates, and counts it if so. */
    public synchronized boolean tryAcquire(
            String workspace,
            OptionalInt requestsPerSecond,
            OptionalInt tokensPerSecond,
            int requestTokens,
            long nowMillis) {
        Bucket requestBucket = bucket(requests, workspace, requestsPerSecond, nowMillis);
        Bucket tokenBucket = bucket(tokens, workspace, tokensPerSecond, nowMillis);
        if (requestBucket.level < 1 || tokenBucket.level <= 0) {
            return false;
        }
        requestBucket.level -= 1;
        // A request may exceed what is left, so that one larger than a second's tokens can pass at all.
        tokenBucket.level -= requestTokens;
        return true;
    }

    private Bucket bucket(Map<String, Bucket> buckets, String workspace, OptionalInt perSecond, long nowMillis) {
        double rate = perSecond.isEmpty() ? Double.MAX_VALUE : (double) perSecond.getAsInt() / entries;
        double burst = Math.max(MIN_BURST, rate);
        Bucket bucket = buckets.computeIfAbsent(workspace, name -> new Bucket(burst, nowMillis));
        double gained = (nowMillis - bucket.filledMillis) / MILLIS_PER_SECOND * rate;
        bucket.level = Math.min(burst, bucket.level + Math.max(0, gained));
        bucket.filledMillis = Math.max(bucket.filledMillis, nowMillis);
        return bucket;
    }

    private static final class Bucket {
        private double level;
        private long filledMillis;

        private Bucket(double level, long filledMillis) {
            this.level = level;
            this.filledMillis = filledMillis;
        }
    }
}
