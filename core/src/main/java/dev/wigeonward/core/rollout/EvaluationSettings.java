package dev.wigeonward.core.rollout;

import com.google.common.base.Preconditions;

/**
 * Settings of the sequential test.
 *
 * @param falseBadRate maximum probability that one test calls a good version bad
 * @param falseGoodRate maximum probability that one test calls a version good that is worse by the given difference
 * @param failureDifference increase of the failure share that counts as bad
 * @param slowDifference increase of the share of slow answers that counts as bad
 * @param minSamples minimum number of the new version's requests for a bad verdict
 * @param minOldSamples minimum number of the old version's recent requests for a test against them alone
 */
public record EvaluationSettings(
        double falseBadRate,
        double falseGoodRate,
        double failureDifference,
        double slowDifference,
        int minSamples,
        int minOldSamples) {
    public EvaluationSettings {
        Preconditions.checkArgument(
                falseBadRate > 0 && falseBadRate < 0.5,
                "falseBadRate must be between 0 and 0.5, but is %s",
                falseBadRate);
        Preconditions.checkArgument(
                falseGoodRate > 0 && falseGoodRate < 0.5,
                "falseGoodRate must be between 0 and 0.5, but is %s",
                falseGoodRate);
        Preconditions.checkArgument(
                failureDifference > 0, "failureDifference must be positive, but is %s", failureDifference);
        Preconditions.checkArgument(slowDifference > 0, "slowDifference must be positive, but is %s", slowDifference);
        Preconditions.checkArgument(minSamples > 0, "minSamples must be positive, but is %s", minSamples);
        Preconditions.checkArgument(minOldSamples > 0, "minOldSamples must be positive, but is %s", minOldSamples);
    }

    /**
     * Returns the settings used in production. The rate of false alarms is low because a rollout runs several thousand
     * tests: two for each route and load level, restarted after each good verdict until the rollout is done.
     */
    public static EvaluationSettings standard() {
        return new EvaluationSettings(1e-6, 0.005, 0.05, 0.15, 10, 200);
    }
}
