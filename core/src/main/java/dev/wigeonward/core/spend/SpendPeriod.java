package dev.wigeonward.core.spend;

import com.google.common.base.Preconditions;

/** A period of commitment, from its start up to but not including its end. */
public record SpendPeriod(String name, long startMillis, long endMillis) {
    public SpendPeriod {
        Preconditions.checkArgument(!name.isEmpty(), "name is empty");
        Preconditions.checkArgument(
                endMillis > startMillis, "period %s ends at %s, starts at %s", name, endMillis, startMillis);
    }

    /** Returns the part of the period that has passed, from 0 to 1. */
    public double elapsedShare(long nowMillis) {
        double share = (double) (nowMillis - startMillis) / (endMillis - startMillis);
        return Math.min(1, Math.max(0, share));
    }
}
