package dev.wigeonward.core.cap;

import com.google.common.base.Preconditions;

/**
 * The entries that one entry hears, as a part of all entries that share its budgets.
 *
 * @param heard number of entries whose reports are received, including the own one
 * @param known number of all entries that may be running, including the own one
 * @param registered whether the entries that do not hear this one can know that it is running
 */
public record EntryGroup(int heard, int known, boolean registered) {
    /** The group of an entry without others. */
    public static final EntryGroup SINGLE = new EntryGroup(1, 1, true);

    /** Fraction of its equal part that a group without the majority of the entries may use. */
    private static final double MINORITY_FRACTION = 0.5;

    public EntryGroup {
        Preconditions.checkArgument(
                heard > 0 && known >= heard, "heard must be from 1 to the %s known entries, but is %s", known, heard);
    }

    /**
     * Returns the fraction of a shared budget that the group may use. The fractions of groups that do not hear each
     * other add up to at most 1: only one of them can have a majority, which leaves to the others what they may use.
     */
    public double budgetFraction() {
        if (2 * heard > known) {
            return 1 - MINORITY_FRACTION * (known - heard) / known;
        }
        return registered ? MINORITY_FRACTION * heard / known : 0;
    }
}
