package dev.wigeonward.core.schedule.pace;

import com.google.common.base.Preconditions;

/**
 * Numbers of good answers and setbacks of an upstream since its pace began. They only grow, so that reports may be lost
 * or repeated.
 *
 * @param setbacks slow, failed and refused requests
 */
public record PaceCounts(long goodAnswers, long setbacks) {
    /** Counts without any answer. */
    public static final PaceCounts NONE = new PaceCounts(0, 0);

    public PaceCounts {
        Preconditions.checkArgument(
                goodAnswers >= 0 && setbacks >= 0,
                "counts must not be negative but are %s and %s",
                goodAnswers,
                setbacks);
    }

    /** Returns the sum of both counts; a sum beyond the range of a long is the largest long. */
    PaceCounts plus(PaceCounts other) {
        return new PaceCounts(saturatedSum(goodAnswers, other.goodAnswers), saturatedSum(setbacks, other.setbacks));
    }

    private static long saturatedSum(long first, long second) {
        long sum = first + second;
        return sum < 0 ? Long.MAX_VALUE : sum;
    }

    PaceCounts withGoodAnswer() {
        return new PaceCounts(saturatedSum(goodAnswers, 1), setbacks);
    }

    PaceCounts withSetback() {
        return new PaceCounts(goodAnswers, saturatedSum(setbacks, 1));
    }
}
