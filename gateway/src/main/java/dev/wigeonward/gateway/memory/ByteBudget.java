package dev.wigeonward.gateway.memory;

import com.google.common.base.Preconditions;

/**
 * Budget of bytes that many holders share. Holders of few bytes may use all of it, those of many bytes only a part, so
 * that a few large requests cannot keep all others from being read. Not thread-safe.
 */
public final class ByteBudget {
    /** Bytes up to which a holder counts as small. */
    static final long SMALL_HOLD_BYTES = 65_536;
    /** Part of the budget that holders of more than {@link #SMALL_HOLD_BYTES} may use. */
    private static final double LARGE_HOLD_PART = 0.75;

    private final long maxBytes;
    private final long maxBytesWithLargeHolds;
    private long heldBytes;

    private ByteBudget(long maxBytes) {
        this.maxBytes = maxBytes;
        this.maxBytesWithLargeHolds = (long) (LARGE_HOLD_PART * maxBytes);
    }

    /** Creates a budget of which nothing is held. */
    public static ByteBudget of(long maxBytes) {
        Preconditions.checkArgument(maxBytes > 0, "maxBytes must be positive but is %s", maxBytes);
        return new ByteBudget(maxBytes);
    }

    /** Returns a new hold of no bytes. */
    public Hold open() {
        return new Hold();
    }

    /** Returns the number of bytes that all holds have together. */
    public long heldBytes() {
        return heldBytes;
    }

    /** Returns the size of the budget. */
    public long maxBytes() {
        return maxBytes;
    }

    /** Bytes of one holder. */
    public final class Hold {
        private long bytes;

        private Hold() {}

        /**
         * Sets the size of this hold and returns true, or leaves it as it is and returns false if the budget does not
         * allow it. A smaller size is always allowed.
         */
        public boolean tryResize(long newBytes) {
            Preconditions.checkArgument(newBytes >= 0, "newBytes must not be negative but is %s", newBytes);
            long limitBytes = newBytes > SMALL_HOLD_BYTES ? maxBytesWithLargeHolds : maxBytes;
            long heldAfterBytes = heldBytes - bytes + newBytes;
            if (newBytes > bytes && heldAfterBytes > limitBytes) {
                return false;
            }
            heldBytes = heldAfterBytes;
            bytes = newBytes;
            return true;
        }

        /** Gives all bytes of this hold back. */
        public void release() {
            tryResize(0);
        }

        /** Returns the size of this hold. */
        public long bytes() {
            return bytes;
        }
    }
}
