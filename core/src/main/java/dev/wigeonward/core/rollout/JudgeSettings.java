package dev.wigeonward.core.rollout;

import com.google.common.base.Preconditions;

/**
 * Limits of the sequential test.
 *
 * @param falseBadRate bound on the chance that one test calls a good version bad
 * @param falseGoodRate bound on the chance that one test calls a version good that is worse by the stated difference
 * @param failureDifference added share of failures that counts as bad
 * @param slowDifference added share of slow answers that counts as bad
 * @param minSamples requests of the new version without which it is never called bad
 * @param minOldSamples requests of the old version from which its shares are estimated
 */
public record JudgeSettings(
        double falseBadRate,
        double falseGoodRate,
        double failureDifference,
        double slowDifference,
        int minSamples,
        int minOldSamples) {
    public JudgeSettings {
        Preconditions.checkArgument(falseBadRate > 0 && falseBadRate < 0.5, "falseBadRate is %s", falseBadRate);
        Preconditions.checkArgument(falseGoodRate > 0 && falseGoodRate < 0.5, "falseGoodRate is %s", falseGoodRate);
        Preconditions.checkArgument(failureDifference > 0, "failureDifference is %s", failureDifference);
        Preconditions.checkArgument(slowDifference > 0, "slowDifference is %s", slowDifference);
        Preconditions.checkArgument(minSamples > 0, "minSamples is %s", minSamples);
        Preconditions.checkArgument(minOldSamples > 0, "minOldSamples is %s", minOldSamples);
    }

    /**
     * Returns the settings used in operation. The rate of false alarms is low because a move runs several thousand
     * tests: two for each route, loaded or not, started anew after each pass until the move is done.
     */
    public static JudgeSettings standard() {
        return new JudgeSettings(1e-6, 0.005, 0.05, 0.15, 10, 200);
    }
}
