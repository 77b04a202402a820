package dev.wigeonward.core.revision;

import java.util.Comparator;

import com.google.common.base.Preconditions;

/**
 * Revision of the store within an era. The store may return from an older copy; a new era then begins, and revisions of
 * the previous one are assigned again. Revisions are ordered by era first.
 *
 * @param era number of times that the store has returned from an older copy
 * @param revision revision that the store assigned within the era
 */
public record StoreRevision(long era, long revision) implements Comparable<StoreRevision> {
    /** Largest era; with it the form as one number is still a positive long. */
    public static final long MAX_ERA = (1L << 22) - 1;
    /** Largest revision: a thousand writes a second reach it after 34 years. */
    public static final long MAX_REVISION = (1L << 40) - 1;

    private static final int REVISION_BITS = 40;
    private static final Comparator<StoreRevision> ORDER =
            Comparator.comparingLong(StoreRevision::era).thenComparingLong(StoreRevision::revision);

    public StoreRevision {
        Preconditions.checkArgument(era >= 0 && era <= MAX_ERA, "era must be between 0 and %s but is %s", MAX_ERA, era);
        Preconditions.checkArgument(
                revision >= 0 && revision <= MAX_REVISION,
                "revision must be between 0 and %s but is %s",
                MAX_REVISION,
                revision);
    }

    /** Returns the revision whose form as one number is given. */
    public static StoreRevision ofNumber(long number) {
        return new StoreRevision(number >> REVISION_BITS, number & MAX_REVISION);
    }

    /** Returns the form as one number, which has the same order and, in era 0, is the plain revision. */
    public long number() {
        return (era << REVISION_BITS) + revision;
    }

    /** Returns whether this revision and the other one, both as one number, are of the same era. */
    public static boolean sameEra(long oneNumber, long otherNumber) {
        return ofNumber(oneNumber).era() == ofNumber(otherNumber).era();
    }

    @Override
    public int compareTo(StoreRevision other) {
        return ORDER.compare(this, other);
    }
}
