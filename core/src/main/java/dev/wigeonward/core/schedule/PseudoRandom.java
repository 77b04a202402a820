package dev.wigeonward.core.schedule;

/** Numbers that look random and are fixed for their arguments. */
public final class PseudoRandom {
    /** Odd multipliers with well-distributed bits, and shifts to mix the upper with the lower ones (SplitMix64). */
    private static final long FIRST_FACTOR = 0xBF58_476D_1CE4_E5B9L;

    private static final long SECOND_FACTOR = 0x94D0_49BB_1331_11EBL;
    private static final long INCREMENT = 0x9E37_79B9_7F4A_7C15L;
    private static final int FIRST_SHIFT = 30;
    private static final int SECOND_SHIFT = 27;
    private static final int THIRD_SHIFT = 31;
    private static final int DISCARDED_BITS = 11;
    private static final double SCALE = 0x1.0p-53;

    private PseudoRandom() {}

    /** Returns a number from 0 to 1, exclusively, for a pair of keys. */
    public static double fraction(long firstKey, long secondKey) {
        return (mix(mix(firstKey) ^ secondKey) >>> DISCARDED_BITS) * SCALE;
    }

    /** Returns a number that looks unrelated to that of any other key. */
    public static long mix(long key) {
        long mixed = key + INCREMENT;
        mixed = (mixed ^ (mixed >>> FIRST_SHIFT)) * FIRST_FACTOR;
        mixed = (mixed ^ (mixed >>> SECOND_SHIFT)) * SECOND_FACTOR;
        return mixed ^ (mixed >>> THIRD_SHIFT);
    }
}
