package dev.wigeonward.core.schedule.retry;

import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import com.google.common.base.Preconditions;
import dev.wigeonward.core.schedule.RetryTimePolicy;
import dev.wigeonward.core.schedule.ScheduledRequest;

/**
 * Policy that plans the returns of refused callers of one service with a ledger of promised returns by time. A caller
 * gets the earliest time with room within the wait that it respects, or else the least crowded one. Not thread-safe.
 */
public final class PlannedReturns implements RetryTimePolicy {
    private static final long BUCKET_MILLIS = 100;
    /** Longest wait before a retry that callers respect, as a part of their remaining time. */
    private static final double MAX_WAIT_PART = 0.32;
    /** Part of the longest wait before which no time is told if no room is in sight, so that the peak has passed. */
    private static final double MIN_PART_WITHOUT_ROOM = 0.6;
    /** Time constant of the moving rates of placements and arrivals, in milliseconds. */
    private static final double RATE_TIME_CONSTANT_MILLIS = 1_000;

    /** Multiples of this number, without their whole part, are spread evenly over 0 to 1. */
    private static final double GOLDEN_RATIO = 0.6180339887498949;

    private final Random random;
    private final RetryTimePolicy unplanned;
    private final Listener listener;
    private final Map<Long, Integer> promised = new TreeMap<>();
    private final Map<Integer, Rate> newArrivalsByRank = new TreeMap<>();
    private final Rate placements = new Rate();

    private PlannedReturns(Random random, RetryTimePolicy unplanned, Listener listener) {
        this.random = Preconditions.checkNotNull(random, "random");
        this.unplanned = Preconditions.checkNotNull(unplanned, "unplanned");
        this.listener = Preconditions.checkNotNull(listener, "listener");
    }

    /**
     * Returns a policy without promised returns.
     *
     * @param unplanned policy for callers that do not wait for capacity of this service
     */
    public static PlannedReturns create(Random random, RetryTimePolicy unplanned, Listener listener) {
        return new PlannedReturns(random, unplanned, listener);
    }

    @Override
    public long retryAfterMillis(long remainingMillis) {
        return unplanned.retryAfterMillis(remainingMillis);
    }

    @Override
    public long spreadAfter(long earliestMillis) {
        return unplanned.spreadAfter(earliestMillis);
    }

    @Override
    public void onWaiting(ScheduledRequest request) {
        if (!request.isReturned()) {
            newArrivalsByRank
                    .computeIfAbsent(request.rank(), rank -> new Rate())
                    .add(request.arrivedAtMillis());
        }
    }

    @Override
    public void onPlaced(ScheduledRequest request, long nowMillis) {
        placements.add(nowMillis);
        if (request.isReturned()) {
            listener.onHonored();
        }
    }

    @Override
    public long planReturnMillis(ScheduledRequest request, int waiting, long nowMillis) {
        long longestMillis = (long) (MAX_WAIT_PART * (request.deadlineAtMillis() - nowMillis));
        // A caller that has returned once has no further retry, so no place is promised to it.
        if (request.isReturned() || request.deadlineAtMillis() == Long.MAX_VALUE || longestMillis <= 0) {
            return 0;
        }
        promised.keySet().removeIf(bucket -> bucket < nowMillis / BUCKET_MILLIS);
        long bucket = chooseBucket(request.rank(), waiting, nowMillis, nowMillis + longestMillis);
        promised.merge(bucket, 1, Integer::sum);
        listener.onPromised();
        long atMillis = bucket * BUCKET_MILLIS + random.nextLong(BUCKET_MILLIS);
        return Math.max(1, Math.min(longestMillis, atMillis - nowMillis));
    }

    /** Returns the first bucket with room, or the least crowded one, the latest of several. */
    private long chooseBucket(int rank, int waiting, long nowMillis, long latestMillis) {
        double perMilli = placements.perMilli(nowMillis);
        double room = BUCKET_MILLIS * Math.max(0, perMilli - arrivalsPerMilli(rank, nowMillis));
        double queueMillis = Math.min(latestMillis - nowMillis, perMilli > 0 ? waiting / perMilli : Long.MAX_VALUE);
        long last = latestMillis / BUCKET_MILLIS;
        // The first bucket is partly over, and callers need a moment to return.
        long first = Math.min(last, (nowMillis + (long) queueMillis) / BUCKET_MILLIS + 1);
        long latestFirst = (nowMillis + (long) (MIN_PART_WITHOUT_ROOM * (latestMillis - nowMillis))) / BUCKET_MILLIS;
        long leastCrowded = last;
        for (long bucket = first; bucket <= last; bucket++) {
            if (promised.getOrDefault(bucket, 0) + 1 <= room + roundingPart(bucket)) {
                return bucket;
            }
            if (bucket >= latestFirst && promised.getOrDefault(bucket, 0) <= promised.getOrDefault(leastCrowded, 0)) {
                leastCrowded = bucket;
            }
        }
        return leastCrowded;
    }

    /** Rounds fractions of a return up in so many buckets that the rounded numbers add up to the room. */
    private static double roundingPart(long bucket) {
        return bucket * GOLDEN_RATIO % 1;
    }

    /** Returns the rate of new requests of the rank and of more urgent ones, which need the capacity as well. */
    private double arrivalsPerMilli(int rank, long nowMillis) {
        return newArrivalsByRank.entrySet().stream()
                .filter(entry -> entry.getKey() <= rank)
                .mapToDouble(entry -> entry.getValue().perMilli(nowMillis))
                .sum();
    }

    /** Receiver of what becomes of the planned returns. */
    public interface Listener {
        /** Listener that does nothing. */
        Listener NONE = new Listener() {
            @Override
            public void onPromised() {}

            @Override
            public void onHonored() {}
        };

        /** A caller was told a time. */
        void onPromised();

        /** A caller that had been refused was placed. */
        void onHonored();
    }

    /** Moving rate of events. */
    private static final class Rate {
        private double count;
        private long updatedAtMillis;

        private void add(long nowMillis) {
            decay(nowMillis);
            count++;
        }

        private double perMilli(long nowMillis) {
            decay(nowMillis);
            return count / RATE_TIME_CONSTANT_MILLIS;
        }

        private void decay(long nowMillis) {
            if (nowMillis > updatedAtMillis) {
                count *= Math.exp((updatedAtMillis - nowMillis) / RATE_TIME_CONSTANT_MILLIS);
                updatedAtMillis = nowMillis;
            }
        }
    }
}
