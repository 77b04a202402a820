package dev.wigeonward.core.rollout;

import com.google.common.base.Preconditions;

/**
 * The share of requests that the new version of one model may get during a rollout.
 *
 * @param model model or plain service
 * @param oldVersion version in use before the rollout
 * @param newVersion version that the rollout introduces
 * @param shareBasisPoints share of each route's requests that the new version may get, in 1/10,000
 * @param leaseMillis time after receipt for which the share is valid, unless the verdict on the new version is good
 * @param hasGoodVerdict whether the rollout passed its last test, so that the share is valid without renewal
 */
public record Stage(
        String model,
        String oldVersion,
        String newVersion,
        int shareBasisPoints,
        long leaseMillis,
        boolean hasGoodVerdict) {
    /** The share that stands for all requests of a route. */
    public static final int ALL_BASIS_POINTS = 10_000;

    public Stage {
        Preconditions.checkArgument(!model.isEmpty(), "model must not be empty");
        Preconditions.checkArgument(
                !newVersion.equals(oldVersion),
                "newVersion of model %s must differ from oldVersion, but both are %s",
                model,
                newVersion);
        Preconditions.checkArgument(
                shareBasisPoints >= 0 && shareBasisPoints <= ALL_BASIS_POINTS,
                "shareBasisPoints of model %s must be from 0 to %s, but is %s",
                model,
                ALL_BASIS_POINTS,
                shareBasisPoints);
        Preconditions.checkArgument(
                leaseMillis >= 0, "leaseMillis of model %s must not be negative, but is %s", model, leaseMillis);
    }

    Stage withLeaseMillis(long millis) {
        return new Stage(model, oldVersion, newVersion, shareBasisPoints, millis, hasGoodVerdict);
    }
}
