package dev.wigeonward.core.rollout;

import java.util.Objects;

/**
 * What the test of one route says of the new version, with the figures that it rests on.
 *
 */
public record RouteJudgement(RouteCell cell, Verdict verdict, Figures oldFigures, Figures newFigures, String reason) {
    public RouteJudgement {
        Objects.requireNonNull(cell, "cell");
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(reason, "reason");
    }

    /** Outcome of a test so far. */
    public enum Verdict {
        GOOD,
        BAD,
        UNDECIDED
    }

    /** Counts of one version. */
    public record Figures(long requests, long failures, long timed, long slow) {}
}
