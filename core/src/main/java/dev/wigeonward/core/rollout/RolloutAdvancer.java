package dev.wigeonward.core.rollout;

import java.util.Collection;
import java.util.Optional;

/** Rules for the next phase of a rollout. The controller writes the phase to the store before it acts on it. */
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
    long testMillisLeft(RolloutProgress rollout, long nowMillis) {
        RolloutRecord record = rollout.record;
        int stagesLeft = settings.stagesLeft(record.shareBasisPoints());
        if (record.phase() == RolloutPhase.WATCHING || stagesLeft == 0) {
            return settings.watchMillis() - rollout.activeMillis;
        }
        long minLeftMillis = settings.minTestMillis() - rollout.activeMillis;
        // An outage during the stage shortens its test, down to the minimum, and not the time of the later stages.
        long stageMillis =
                (long) (STAGE_TIME_FRACTION * (record.deadlineMillis() - record.phaseStartMillis()) / stagesLeft);
        return Math.max(minLeftMillis, record.phaseStartMillis() + stageMillis - nowMillis);
    }

    /** Returns whether the test of the current stage must be truncated now. */
    boolean mustTruncateTest(RolloutProgress rollout, long nowMillis) {
        boolean timeOver = testMillisLeft(rollout, nowMillis) <= 0;
        return timeOver && (rollout.record.phase() == RolloutPhase.WATCHING || !rollout.evidence.allRoutesPassed());
    }

    /**
     * Returns the record of the next step, or empty if no step is due.
     *
     * @param badReason reason of the bad verdict on the new version, if there is one
     */
    Optional<RolloutRecord> next(
            RolloutProgress rollout,
            Optional<String> badReason,
            Collection<UpstreamVersions> upstreams,
            long nowMillis) {
        RolloutRecord record = rollout.record;
        boolean canEnd = record.phase().isAdvancing() || record.phase() == RolloutPhase.DONE;
        if (canEnd && badReason.isPresent()) {
            return Optional.of(
                    record.withPhase(RolloutPhase.ROLLING_BACK, 0, nowMillis, "bad version: " + badReason.get()));
        }
        if (record.phase().isAdvancing() && rollout.withdrawn) {
            return Optional.of(
                    record.withPhase(RolloutPhase.ROLLING_BACK, 0, nowMillis, "the rules no longer name this version"));
        }
        return switch (record.phase()) {
            case PLANNED ->
                Optional.of(record.withPhase(RolloutPhase.LOADING, 0, nowMillis, "loads by order of deadline"));
            case LOADING -> afterLoading(rollout, upstreams, nowMillis);
            case CANARY, GROWING -> afterStage(rollout, upstreams, nowMillis);
            case WATCHING ->
                rollout.activeMillis >= settings.watchMillis()
                        ? Optional.of(record.withPhase(
                                RolloutPhase.DONE, Stage.ALL_BASIS_POINTS, nowMillis, "no badness seen while watching"))
                        : Optional.empty();
            case ROLLING_BACK -> afterRollback(rollout, upstreams, nowMillis);
            default -> Optional.empty();
        };
    }

    private Optional<RolloutRecord> afterLoading(
            RolloutProgress rollout, Collection<UpstreamVersions> upstreams, long nowMillis) {
        int share = rollout.record.canaryBasisPoints();
        int needed = planner.upstreamsNeeded(rollout, upstreams, share);
        int ready = planner.upstreamsReady(rollout, upstreams);
        if (ready == 0 || ready < needed) {
            return Optional.empty();
        }
        return Optional.of(
                rollout.record.withPhase(RolloutPhase.CANARY, share, nowMillis, ready + " upstreams are loaded"));
    }

    private Optional<RolloutRecord> afterStage(
            RolloutProgress rollout, Collection<UpstreamVersions> upstreams, long nowMillis) {
        int share = settings.nextShare(rollout.record.shareBasisPoints());
        boolean loaded =
                planner.upstreamsReady(rollout, upstreams) >= planner.upstreamsNeeded(rollout, upstreams, share);
        if (!loaded
                || rollout.activeMillis < settings.minStageMillis()
                || !rollout.evidence.allRoutesPassed()
                || rollout.evidence.isSuspect(nowMillis)) {
            return Optional.empty();
        }
        RolloutPhase phase = share == Stage.ALL_BASIS_POINTS ? RolloutPhase.WATCHING : RolloutPhase.GROWING;
        return Optional.of(rollout.record.withPhase(phase, share, nowMillis, "all routes passed"));
    }

    private Optional<RolloutRecord> afterRollback(
            RolloutProgress rollout, Collection<UpstreamVersions> upstreams, long nowMillis) {
        boolean oldRestored = upstreams.stream()
                .filter(upstream -> upstream.model().equals(rollout.record.model()))
                .allMatch(upstream -> upstream.hasLoaded(rollout.record.oldVersion()) || !upstream.hasRoom());
        if (planner.upstreamsReady(rollout, upstreams) > 0
                || !oldRestored
                || !rollout.unansweredIntents().isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(rollout.record.withPhase(RolloutPhase.ROLLED_BACK, 0, nowMillis, rollout.record.reason()));
    }
}
