package dev.wigeonward.core.share;

import java.util.Arrays;
import java.util.List;

import com.google.common.collect.ImmutableList;

/** Bands of the sizes of recent requests: the largest tenth, the fifth below it, and the others. Not thread-safe. */
public final class SizeBands {
    /** Bands of large requests. */
    public static final List<Band> GUARDED = ImmutableList.of(Band.LARGEST_TENTH, Band.FIFTH_BELOW);

    private static final int RECENT_SIZES = 256;
    private static final int SIZES_BETWEEN_UPDATES = 16;
    private static final double SECOND_PART = 0.7;
    private static final double FIRST_PART = 0.9;

    private final double[] recent = new double[RECENT_SIZES];
    private long count;
    private double secondBound = Double.POSITIVE_INFINITY;
    private double firstBound = Double.POSITIVE_INFINITY;

    private SizeBands() {}

    /** Returns bands that count all requests as others until some sizes are known. */
    public static SizeBands create() {
        return new SizeBands();
    }

    /** Records the size of a request and returns its band. */
    public Band add(double size) {
        recent[(int) (count % RECENT_SIZES)] = size;
        count++;
        if (count % SIZES_BETWEEN_UPDATES == 0) {
            double[] sorted = Arrays.copyOf(recent, (int) Math.min(count, RECENT_SIZES));
            Arrays.sort(sorted);
            secondBound = sorted[(int) (SECOND_PART * sorted.length)];
            firstBound = sorted[(int) (FIRST_PART * sorted.length)];
        }
        if (size >= firstBound) {
            return Band.LARGEST_TENTH;
        }
        return size >= secondBound ? Band.FIFTH_BELOW : Band.OTHERS;
    }

    /** Part of the requests by size. */
    public enum Band {
        LARGEST_TENTH,
        FIFTH_BELOW,
        OTHERS
    }
}
