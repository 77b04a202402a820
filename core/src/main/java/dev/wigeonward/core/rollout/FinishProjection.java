package dev.wigeonward.core.rollout;

import java.util.Collection;

/** Projects when the new versions can get all requests, from the loads and stages that are left. */
final class FinishProjection {
    /** Weight of the last load in the running mean. */
    private static final double LOAD_WEIGHT = 0.3;

    private final MoveSettings settings;
    private final LoadPlanner planner;
    private final MoveAdvancer advancer;
    private double loadMillis;

    FinishProjection(MoveSettings settings, LoadPlanner planner, MoveAdvancer advancer) {
        this.settings = settings;
        this.planner = planner;
        this.advancer = advancer;
        this.loadMillis = settings.expectedLoadMillis();
    }

    void loadTook(long millis) {
        loadMillis += LOAD_WEIGHT * (millis - loadMillis);
    }

    /** Returns the projected finish; the start of the phase for a move that already got all requests. */
    long finishMillis(Move move, Collection<Move> moves, Collection<UpstreamVersions> upstreams, long nowMillis) {
        MoveRecord record = move.record;
        if (!record.phase().isAdvancing() || record.phase() == MovePhase.WATCHING) {
            return record.phaseStartMillis();
        }
        long loads = 0;
        for (Move other : moves) {
            boolean ahead = other == move || other.record.deadlineMillis() < record.deadlineMillis();
            if (ahead && other.record.phase().isAdvancing()) {
                int needed = planner.upstreamsNeeded(other, upstreams, Stage.ALL_BASIS_POINTS);
                loads += Math.max(0, needed - planner.upstreamsReady(other, upstreams));
            }
        }
        long rounds = (loads + settings.concurrentLoads() - 1) / settings.concurrentLoads();
        long loadingMillis = (long) (rounds * loadMillis);
        return nowMillis + Math.max(loadingMillis, stagesMillis(move, nowMillis));
    }

    private long stagesMillis(Move move, long nowMillis) {
        boolean started = move.record.shareBasisPoints() > 0;
        int stagesLeft = settings.stagesLeft(move.record.shareBasisPoints()) - (started ? 1 : 0);
        long millis = stagesLeft * settings.minStageMillis();
        if (!started) {
            return millis;
        }
        long presentMillis = settings.minStageMillis() - move.activeMillis;
        if (presentMillis < 0 && !move.evidence.allRoutesPassed()) {
            // A test that has lasted long is expected to last as long again, within its limit.
            presentMillis = Math.min(move.activeMillis, advancer.testMillisLeft(move, nowMillis));
        }
        return millis + Math.max(0, presentMillis);
    }
}
