package dev.wigeonward.core.rollout;

import java.util.Collection;

/** Projection of the time at which a new version can get all requests, from the remaining loads and stages. */
final class FinishProjection {
    /** Weight of the latest load in the exponentially weighted mean of load durations. */
    private static final double LOAD_WEIGHT = 0.3;

    private final RolloutSettings settings;
    private final LoadPlanner planner;
    private final RolloutAdvancer advancer;
    private double meanLoadMillis;

    FinishProjection(RolloutSettings settings, LoadPlanner planner, RolloutAdvancer advancer) {
        this.settings = settings;
        this.planner = planner;
        this.advancer = advancer;
        this.meanLoadMillis = settings.expectedLoadMillis();
    }

    /** Adds the duration of a finished load to the mean. */
    void recordLoadDuration(long millis) {
        meanLoadMillis += LOAD_WEIGHT * (millis - meanLoadMillis);
    }

    /**
     * Returns the projected finish of the rollout, or the start of its phase if its new version already gets all
     * requests or the rollout no longer advances.
     */
    long finishMillis(
            RolloutProgress rollout,
            Collection<RolloutProgress> rollouts,
            Collection<UpstreamVersions> upstreams,
            long nowMillis) {
        RolloutRecord record = rollout.record;
        if (!record.phase().isAdvancing() || record.phase() == RolloutPhase.WATCHING) {
            return record.phaseStartMillis();
        }
        long loads = 0;
        for (RolloutProgress other : rollouts) {
            boolean loadsFirst = other == rollout || other.record.deadlineMillis() < record.deadlineMillis();
            if (loadsFirst && other.record.phase().isAdvancing()) {
                int needed = planner.upstreamsNeeded(other, upstreams, Stage.ALL_BASIS_POINTS);
                loads += Math.max(0, needed - planner.upstreamsReady(other, upstreams));
            }
        }
        long rounds = (loads + settings.concurrentLoads() - 1) / settings.concurrentLoads();
        long loadingMillis = (long) (rounds * meanLoadMillis);
        return nowMillis + Math.max(loadingMillis, stagesMillis(rollout, nowMillis));
    }

    private long stagesMillis(RolloutProgress rollout, long nowMillis) {
        boolean started = rollout.record.shareBasisPoints() > 0;
        int stagesLeft = settings.stagesLeft(rollout.record.shareBasisPoints()) - (started ? 1 : 0);
        long millis = stagesLeft * settings.minStageMillis();
        if (!started) {
            return millis;
        }
        long currentStageMillis = settings.minStageMillis() - rollout.activeMillis;
        if (currentStageMillis < 0 && !rollout.evidence.allRoutesPassed()) {
            // A test that exceeds the minimum is expected to take as long again, within its limit.
            currentStageMillis = Math.min(rollout.activeMillis, advancer.testMillisLeft(rollout, nowMillis));
        }
        return millis + Math.max(0, currentStageMillis);
    }
}
