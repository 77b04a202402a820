package dev.wigeonward.core.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

import com.google.common.base.Preconditions;

/**
 * Rate limiter for the requests and tokens per second of each workspace, with one token bucket for each. The rules set
 * the rate over all entries. Each entry allows an equal fraction of it, because the load balancer distributes callers
 * over the entries at random. Thread-safe.
 */
public final class WorkspaceRateLimiter {
    private static final double MILLIS_PER_SECOND = 1_000;
    /** Minimum bucket size; a rate below one request per second must still admit single requests. */
    private static final double MIN_BURST = 1;

    private final Map<String, Bucket> requests = new HashMap<>();
    private final Map<String, Bucket> tokens = new HashMap<>();
    private int entries = 1;

    /** Sets the number of entries by which the rates are divided; 0 is treated as 1. */
    public synchronized void setEntries(int count) {
        Preconditions.checkArgument(count >= 0, "number of entries must not be negative but was %s", count);
        entries = Math.max(1, count);
    }

    /** Returns whether a request with the given tokens is within both rates, and deducts it from both if so. */
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
        // The level may become negative, because a request larger than the tokens of one second could never pass
        // otherwise.
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
