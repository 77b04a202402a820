package dev.wigeonward.core.rollout;

import java.util.Arrays;

import com.google.common.base.Preconditions;

/**
 * Immutable histogram of normalized times (time divided by estimated service time) with logarithmic buckets.
 *
 * <p>Eight buckets for each factor of two, from 1/4 to 64, keep the bound of a quantile bucket within 9% of the true
 * quantile.
 */
public final class TimeHistogram {
    /** Number of buckets. */
    public static final int BUCKETS = 64;

    private static final int BUCKETS_PER_OCTAVE = 8;
    private static final int LOWEST_OCTAVE = -2;
    private static final TimeHistogram EMPTY = new TimeHistogram(new long[BUCKETS]);

    private final long[] counts;

    private TimeHistogram(long[] counts) {
        this.counts = counts;
    }

    /** Returns an empty histogram. */
    public static TimeHistogram empty() {
        return EMPTY;
    }

    /** Returns a histogram with the given count for each bucket. */
    public static TimeHistogram of(long[] counts) {
        Preconditions.checkArgument(
                counts.length == BUCKETS, "counts must have %s buckets, but have %s", BUCKETS, counts.length);
        return new TimeHistogram(counts.clone());
    }

    /** Returns the index of the bucket that counts the normalized time; times out of range go to the nearest bucket. */
    public static int bucketOf(double normalizedTime) {
        if (normalizedTime <= 0) {
            return 0;
        }
        double octave = Math.log(normalizedTime) / Math.log(2) - LOWEST_OCTAVE;
        return (int) Math.max(0, Math.min(BUCKETS - 1, Math.floor(octave * BUCKETS_PER_OCTAVE)));
    }

    /** Returns the number of times counted. */
    public long total() {
        return Arrays.stream(counts).sum();
    }

    /** Returns the number of times in a bucket. */
    public long count(int bucket) {
        return counts[bucket];
    }

    /** Returns the lowest bucket with at most the given fraction of all times above it. */
    public int quantileBucket(double fractionAbove) {
        double allowed = total() * fractionAbove;
        long above = 0;
        int bucket = BUCKETS - 1;
        while (bucket > 0 && above + counts[bucket] <= allowed) {
            above += counts[bucket];
            bucket--;
        }
        return bucket;
    }

    /** Returns the number of times in the buckets above the given one. */
    public long countAbove(int bucket) {
        return Arrays.stream(counts, bucket + 1, BUCKETS).sum();
    }

    /** Returns the bucket-wise sum. */
    TimeHistogram plus(TimeHistogram other) {
        long[] sums = new long[BUCKETS];
        Arrays.setAll(sums, i -> counts[i] + other.counts[i]);
        return new TimeHistogram(sums);
    }

    /** Returns the bucket-wise difference. */
    TimeHistogram minus(TimeHistogram other) {
        long[] differences = new long[BUCKETS];
        Arrays.setAll(differences, i -> counts[i] - other.counts[i]);
        return new TimeHistogram(differences);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof TimeHistogram histogram && Arrays.equals(counts, histogram.counts);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(counts);
    }

    @Override
    public String toString() {
        return "TimeHistogram" + Arrays.toString(counts);
    }
}
