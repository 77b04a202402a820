package dev.wigeonward.core.rollout;

import java.util.List;

import com.google.common.base.Preconditions;

/**
 * Settings of rollouts.
 *
 * @param growthBasisPoints shares after the canary share in increasing order, in 1/10,000; the last is all requests
 * @param concurrentLoads maximum number of loads in progress over all rollouts, limited by the weight store's rate
 * @param expectedLoadMillis expected duration of a load before any was measured
 * @param minStageMillis minimum duration of each share, so that slow answers to its first requests are seen
 * @param minTestMillis time before which a test is not truncated for the deadline
 * @param watchMillis time for which the old version stays loaded after completion
 * @param confirmMillis time for which a route must look bad when there is no recent evidence of the old version to
 *     compare with; longer than a short disturbance, which would affect both versions
 * @param renewMillis interval between publications of the stages
 * @param retryMillis delay before a failed or unanswered write is repeated
 * @param orderRetryMillis delay before an unanswered order is sent again and before a failed order is replaced
 */
public record RolloutSettings(
        List<Integer> growthBasisPoints,
        int concurrentLoads,
        long expectedLoadMillis,
        long minStageMillis,
        long minTestMillis,
        long watchMillis,
        long confirmMillis,
        long renewMillis,
        long retryMillis,
        long orderRetryMillis) {
    public RolloutSettings {
        growthBasisPoints = List.copyOf(growthBasisPoints);
        Preconditions.checkArgument(!growthBasisPoints.isEmpty(), "growthBasisPoints must not be empty");
        Preconditions.checkArgument(
                growthBasisPoints.get(growthBasisPoints.size() - 1) == Stage.ALL_BASIS_POINTS,
                "growthBasisPoints must end with %s, but is %s",
                Stage.ALL_BASIS_POINTS,
                growthBasisPoints);
        Preconditions.checkArgument(
                concurrentLoads > 0, "concurrentLoads must be positive, but is %s", concurrentLoads);
        Preconditions.checkArgument(
                renewMillis > 0 && renewMillis < StageView.MAX_LEASE_MILLIS,
                "renewMillis must be positive and less than the maximum lease of %s ms, but is %s",
                StageView.MAX_LEASE_MILLIS,
                renewMillis);
        Preconditions.checkArgument(minStageMillis > 0, "minStageMillis must be positive, but is %s", minStageMillis);
    }

    /** Returns the settings used in production. */
    public static RolloutSettings standard() {
        return new RolloutSettings(
                List.of(1_000, 2_500, 5_000, 10_000), 4, 60_000, 10_000, 60_000, 300_000, 20_000, 2_000, 1_000, 30_000);
    }

    /** Returns the number of stages up to the one before all requests, including the stage with the given share. */
    int stagesLeft(int shareBasisPoints) {
        if (shareBasisPoints == Stage.ALL_BASIS_POINTS) {
            return 0;
        }
        return (int) growthBasisPoints.stream()
                .filter(share -> share >= nextShare(shareBasisPoints))
                .count();
    }

    /** Returns the next larger share, or all requests if there is none. */
    int nextShare(int shareBasisPoints) {
        return growthBasisPoints.stream()
                .filter(share -> share > shareBasisPoints)
                .findFirst()
                .orElse(Stage.ALL_BASIS_POINTS);
    }
}
