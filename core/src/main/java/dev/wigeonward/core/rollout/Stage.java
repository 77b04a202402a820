package dev.wigeonward.core.rollout;

import com.google.common.base.Preconditions;

/**
 * How far the move of one model has come.
 *
 * @param model model or plain service
 * @param oldVersion version in use before the move
 * @param newVersion version that the move leads to
 * @param shareBasisPoints share of each route's requests that the new version may get, in 1/10,000
 * @param leaseMillis time for which the share counts after receipt, unless the new version is judged good
 * @param judgedGood whether the move passed its last test, so that the share counts without renewal
 */
public record Stage(
        String model,
        String oldVersion,
        String newVersion,
        int shareBasisPoints,
        long leaseMillis,
        boolean judgedGood) {
    /** The whole traffic of a route. */
    public static final int ALL_BASIS_POINTS = 10_000;

    public Stage {
        Preconditions.checkArgument(!model.isEmpty(), "model is empty");
        Preconditions.checkArgument(!newVersion.equals(oldVersion), "both versions are %s", newVersion);
        Preconditions.checkArgument(
                shareBasisPoints >= 0 && shareBasisPoints <= ALL_BASIS_POINTS,
                "shareBasisPoints is %s",
                shareBasisPoints);
        Preconditions.checkArgument(leaseMillis >= 0, "leaseMillis is %s", leaseMillis);
    }

    Stage withLeaseMillis(long millis) {
        return new Stage(model, oldVersion, newVersion, shareBasisPoints, millis, judgedGood);
    }
}
