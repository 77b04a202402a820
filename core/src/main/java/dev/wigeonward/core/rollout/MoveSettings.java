package dev.wigeonward.core.rollout;

import java.util.List;

import com.google.common.base.Preconditions;

/**
 * Limits of version moves.
 *
 * @param growthBasisPoints shares after the canary in the order of growth; the last is all requests
 * @param concurrentLoads loads in progress over all moves, which the weight store's rate allows
 * @param expectedLoadMillis duration of a load assumed before one was seen
 * @param minStageMillis time that each share lasts at least, so that slow answers of its start are seen
 * @param minTestMillis time before which a test is not cut short for the deadline
 * @param watchMillis time for which the old version stays loaded after completion
 * @param confirmMillis time for which a route has to look bad while the old version gets nothing to compare with; a
 *     short disturbance that would hit both versions does not last as long
 * @param renewMillis interval between publications of the stages
 * @param retryMillis delay before a failed or unanswered write is repeated
 * @param orderRetryMillis delay before an unanswered order is sent again and before a failed one is replaced
 */
public record MoveSettings(
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
    public MoveSettings {
        growthBasisPoints = List.copyOf(growthBasisPoints);
        Preconditions.checkArgument(!growthBasisPoints.isEmpty(), "growthBasisPoints is %s", growthBasisPoints);
        Preconditions.checkArgument(
                growthBasisPoints.get(growthBasisPoints.size() - 1) == Stage.ALL_BASIS_POINTS,
                "growthBasisPoints is %s",
                growthBasisPoints);
        Preconditions.checkArgument(concurrentLoads > 0, "concurrentLoads is %s", concurrentLoads);
        Preconditions.checkArgument(
                renewMillis > 0 && renewMillis < StageView.MAX_LEASE_MILLIS, "renewMillis is %s", renewMillis);
        Preconditions.checkArgument(minStageMillis > 0, "minStageMillis is %s", minStageMillis);
    }

    /** Returns the settings used in operation. */
    public static MoveSettings standard() {
        return new MoveSettings(
                List.of(1_000, 2_500, 5_000, 10_000), 4, 60_000, 10_000, 60_000, 300_000, 20_000, 2_000, 1_000, 30_000);
    }

    /** Returns the number of stages before all requests, counting the one with the given share. */
    int stagesLeft(int shareBasisPoints) {
        if (shareBasisPoints == Stage.ALL_BASIS_POINTS) {
            return 0;
        }
        return (int) growthBasisPoints.stream()
                .filter(share -> share >= nextShare(shareBasisPoints))
                .count();
    }

    /** Returns the share that follows the given one. */
    int nextShare(int shareBasisPoints) {
        return growthBasisPoints.stream()
                .filter(share -> share > shareBasisPoints)
                .findFirst()
                .orElse(Stage.ALL_BASIS_POINTS);
    }
}
