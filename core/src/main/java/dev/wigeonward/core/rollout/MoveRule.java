package dev.wigeonward.core.rollout;

import java.util.Objects;

import com.google.common.base.Preconditions;

/**
 * An operator's rule that moves a model to a version.
 *
 * @param fromVersion version in use before the first move of the model; later moves start from what serves then
 * @param deadlineMillis time by which all requests of the model are to go to the version
 * @param canaryBasisPoints share of each route's requests before the first verdict, in 1/10,000
 * @param askedBy who asked for it, for reports
 */
public record MoveRule(
        String model,
        String fromVersion,
        String toVersion,
        long deadlineMillis,
        int canaryBasisPoints,
        String askedBy) {
    /** Requirement: at most 2% of a route's requests before the first verdict. */
    public static final int MAX_CANARY_BASIS_POINTS = 200;

    public MoveRule {
        Preconditions.checkArgument(!model.isEmpty(), "model is empty");
        Preconditions.checkArgument(!toVersion.equals(fromVersion), "both versions are %s", toVersion);
        Preconditions.checkArgument(
                canaryBasisPoints > 0 && canaryBasisPoints <= MAX_CANARY_BASIS_POINTS,
                "canaryBasisPoints is %s",
                canaryBasisPoints);
        Objects.requireNonNull(askedBy, "askedBy");
    }
}
