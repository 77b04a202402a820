package dev.wigeonward.core.rollout;

import java.util.List;

import com.google.common.base.Preconditions;

/**
 * Limits of version moves.
 *
 * @param growthBasisPoints shares in the order of growth; the first is the canary share, the last all requests
 * @param concurrentLoads loads in progress over all moves, which the weight store's rate allows
 * @param expectedLoadMillis duration of a load assumed before one was seen
 * @param minStageMillis time that each share lasts at least, so that slow answers of its start are seen
 * @param minTestMillis time before which a test is not cut short for the deadline
 * @param watchMillis time for which the old version stays loaded after completion
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
        long renewMillis,
        long retryMillis,
        long orderRetryMillis) {
    /** Requirement: at most 2% of a route's requests before the first verdict. */
    private static final int MAX_CANARY_BASIS_POINTS = 200;

    public MoveSettings {
        growthBasisPoints = List.copyOf(growthBasisPoints);
        Preconditions.checkArgument(growthBasisPoints.size() > 1, "growthBasisPoints is %s", growthBasisPoints);
        Preconditions.checkArgument(
                growthBasisPoints.get(0) <= MAX_CANARY_BASIS_POINTS, "growthBasisPoints is %s", growthBasisPoints);
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
                List.of(200, 1_000, 2_500, 5_000, 10_000), 4, 60_000, 10_000, 60_000, 300_000, 2_000, 1_000, 30_000);
    }

    int canaryBasisPoints() {
        return growthBasisPoints.get(0);
    }

    /** Returns the number of shares between the given one and all requests, counting the given one. */
    int stagesLeft(int shareBasisPoints) {
        return (int) growthBasisPoints.stream()
                .filter(share -> share >= shareBasisPoints && share < Stage.ALL_BASIS_POINTS)
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
