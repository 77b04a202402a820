package dev.wigeonward.core.rollout;

import java.util.Objects;

import com.google.common.base.Preconditions;

/**
 * An operator's rule that rolls out another version of a model.
 *
 * @param fromVersion version in use before the first rollout of the model; later rollouts start from the version that
 *     is then in use
 * @param deadlineMillis time by which all requests of the model are to go to the new version
 * @param canaryBasisPoints share of each route's requests that the new version gets before the first verdict, in
 *     1/10,000
 * @param askedBy name of the operator who requested the rollout, for reports
 */
public record RolloutRule(
        String model,
        String fromVersion,
        String toVersion,
        long deadlineMillis,
        int canaryBasisPoints,
        String askedBy) {
    /** The requirements allow at most 2% of a route's requests before the first verdict. */
    public static final int MAX_CANARY_BASIS_POINTS = 200;

    public RolloutRule {
        Preconditions.checkArgument(!model.isEmpty(), "model must not be empty");
        Preconditions.checkArgument(
                !toVersion.equals(fromVersion),
                "toVersion of model %s must differ from fromVersion, but both are %s",
                model,
                toVersion);
        Preconditions.checkArgument(
                canaryBasisPoints > 0 && canaryBasisPoints <= MAX_CANARY_BASIS_POINTS,
                "canaryBasisPoints of model %s must be from 1 to %s, but is %s",
                model,
                MAX_CANARY_BASIS_POINTS,
                canaryBasisPoints);
        Objects.requireNonNull(askedBy, "askedBy");
    }
}
