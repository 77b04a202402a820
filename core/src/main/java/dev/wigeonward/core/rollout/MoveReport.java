package dev.wigeonward.core.rollout;

import java.util.List;

/**
 * One step of a move as operators see it; all components are plain values for JSON.
 *
 * @param projectedFinishMillis earliest time at which the new version can get all requests
 * @param onTime whether that time is within the deadline
 * @param reason why the step was taken
 * @param figures what each route showed at that time
 */
public record MoveReport(
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
        List<RouteJudgement> figures) {
    public MoveReport {
        figures = List.copyOf(figures);
    }
}
