package dev.wigeonward.core.rollout;

import java.util.List;

/**
 * A report of one step of a rollout for operators. All components are plain values that can be written as JSON.
 *
 * @param projectedFinishMillis earliest time at which the new version can get all requests
 * @param onTime whether the projected finish is not after the deadline
 * @param reason reason for which the step was taken
 * @param figures last evaluation of each route at the time of the step
 */
public record RolloutReport(
        long atMillis,
        String model,
        String oldVersion,
        String newVersion,
        String phase,
        int shareBasisPoints,
        long deadlineMillis,
        long projectedFinishMillis,
        boolean onTime,
        String reason,
        List<RouteEvaluation> figures) {
    public RolloutReport {
        figures = List.copyOf(figures);
    }
}
