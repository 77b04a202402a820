package dev.wigeonward.core.rollout;

import java.util.Collection;
import java.util.Optional;

/** Rules for the next phase of a move. The controller writes the phase to the store before it acts on it. */
final class RolloutAdvancer {
    /** Fraction of a stage's time after which its test is truncated, so that the deadline can still be met. */
    private static final double STAGE_TIME_FRACTION = 0.9;

    private final RolloutSettings settings;
    private final LoadPlanner planner;

    RolloutAdvancer(RolloutSettings settings, LoadPlanner planner) {
        this.settings = settings;
        this.planner = planner;
    }

    /** Returns the maximum time that the test of the current stage may still take, in milliseconds. */
    long testMillisLeft(RolloutProgress move, long nowMillis) {
        RolloutRecord record = move.record;
        int stagesLeft = settings.stagesLeft(record.shareBasisPoints());
        if (record.phase() == RolloutPhase.WATCHING || stagesLeft == 0) {
            return settings.watchMillis() - move.activeMillis;
        }
        long minLeftMillis = settings.minTestMillis() - move.activeMillis;
        // An outage during the stage shortens its test, down to the minimum, and not the time of the later stages.
        long stageMillis =
                (long) (STAGE_TIME_FRACTION * (record.deadlineMillis() - record.phaseStartMillis()) / stagesLeft);
        return Math.max(minLeftMillis, record.phaseStartMillis() + stageMillis - nowMillis);
    }

    /** Returns whether the test of the current stage must be truncated now. */
    boolean mustTruncateTest(RolloutProgress move, long nowMillis) {
        boolean timeOver = testMillisLeft(move, nowMillis) <= 0;
        return timeOver && (move.record.phase() == RolloutPhase.WATCHING || !move.evidence.allRoutesPassed());
    }

    /**
     * Returns the record of the next step, or empty if no step is due.
     *
     * @param badReason reason of the bad verdict on the new version, if there is one
     */
    Optional<RolloutRecord> next(
            RolloutProgress move, Optional<String> badReason, Collection<UpstreamVersions> upstreams, long nowMillis) {
        RolloutRecord record = move.record;
        boolean canEnd = record.phase().isAdvancing() || record.phase() == RolloutPhase.DONE;
        if (canEnd && badReason.isPresent()) {
            return Optional.of(
                    record.withPhase(RolloutPhase.ROLLING_BACK, 0, nowMillis, "bad version: " + badReason.get()));
        }
        if (record.phase().isAdvancing() && move.withdrawn) {
            return Optional.of(
                    record.withPhase(RolloutPhase.ROLLING_BACK, 0, nowMillis, "the rules no longer name this version"));
        }
        return switch (record.phase()) {
            case PLANNED ->
                Optional.of(record.withPhase(RolloutPhase.LOADING, 0, nowMillis, "loads by order of deadline"));
            case LOADING -> afterLoading(move, upstreams, nowMillis);
            case CANARY, GROWING -> afterStage(move, upstreams, nowMillis);
            case WATCHING ->
                move.activeMillis >= settings.watchMillis()
                        ? Optional.of(record.withPhase(
                                RolloutPhase.DONE, Stage.ALL_BASIS_POINTS, nowMillis, "no badness seen while watching"))
                        : Optional.empty();
            case ROLLING_BACK -> afterRollback(move, upstreams, nowMillis);
            default -> Optional.empty();
        };
    }

    private Optional<RolloutRecord> afterLoading(
            RolloutProgress move, Collection<UpstreamVersions> upstreams, long nowMillis) {
        int share = move.record.canaryBasisPoints();
        int needed = planner.upstreamsNeeded(move, upstreams, share);
        int ready = planner.upstreamsReady(move, upstreams);
        if (ready == 0 || ready < needed) {
            return Optional.empty();
        }
        return Optional.of(
                move.record.withPhase(RolloutPhase.CANARY, share, nowMillis, ready + " upstreams are loaded"));
    }

    private Optional<RolloutRecord> afterStage(
            RolloutProgress move, Collection<UpstreamVersions> upstreams, long nowMillis) {
        int share = settings.nextShare(move.record.shareBasisPoints());
        boolean loaded = planner.upstreamsReady(move, upstreams) >= planner.upstreamsNeeded(move, upstreams, share);
        if (!loaded
                || move.activeMillis < settings.minStageMillis()
                || !move.evidence.allRoutesPassed()
                || move.evidence.isSuspect(nowMillis)) {
            return Optional.empty();
        }
        RolloutPhase phase = share == Stage.ALL_BASIS_POINTS ? RolloutPhase.WATCHING : RolloutPhase.GROWING;
        return Optional.of(move.record.withPhase(phase, share, nowMillis, "all routes passed"));
    }

    private Optional<RolloutRecord> afterRollback(
            RolloutProgress move, Collection<UpstreamVersions> upstreams, long nowMillis) {
        boolean oldRestored = upstreams.stream()
                .filter(upstream -> upstream.model().equals(move.record.model()))
                .allMatch(upstream -> upstream.hasLoaded(move.record.oldVersion()) || !upstream.hasRoom());
        if (planner.upstreamsReady(move, upstreams) > 0
                || !oldRestored
                || !move.unansweredIntents().isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(move.record.withPhase(RolloutPhase.ROLLED_BACK, 0, nowMillis, move.record.reason()));
    }
}
