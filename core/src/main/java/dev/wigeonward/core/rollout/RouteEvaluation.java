package dev.wigeonward.core.rollout;

import java.util.Objects;

/**
 * Result of the test of the new version on one route, with the counts on which it is based.
 *
 * @param cell route and load level that were tested
 * @param oldFigures counts of the old version
 * @param newFigures counts of the new version
 */
public record RouteEvaluation(
        RouteLoadKey cell, Verdict verdict, Figures oldFigures, Figures newFigures, String reason) {
    public RouteEvaluation {
        Objects.requireNonNull(cell, "cell");
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(reason, "reason");
    }

    /** Outcome of a test with the evidence so far. */
    public enum Verdict {
        GOOD,
        BAD,
        UNDECIDED
    }

    /**
     * Counts of one version.
     *
     * @param timed number of requests that did not fail
     * @param slow number of those in a bucket above the one of the old version's 90th percentile
     */
    public record Figures(long requests, long failures, long timed, long slow) {}
}
