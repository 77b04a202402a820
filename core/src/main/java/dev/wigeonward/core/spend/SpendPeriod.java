package dev.wigeonward.core.spend;

import com.google.common.base.Preconditions;

/** A commitment period, including its start and excluding its end. */
public record SpendPeriod(String name, long startMillis, long endMillis) {
    public SpendPeriod {
        Preconditions.checkArgument(!name.isEmpty(), "period name must not be empty");
        Preconditions.checkArgument(
                endMillis > startMillis,
                "end of period %s must be after its start %s, got %s",
                name,
                startMillis,
                endMillis);
    }

    /** Returns the elapsed share of the period, from 0 before its start to 1 after its end. */
    public double elapsedShare(long nowMillis) {
        double share = (double) (nowMillis - startMillis) / (endMillis - startMillis);
        return Math.min(1, Math.max(0, share));
    }
}
