package dev.wigeonward.core.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;

/** What the decisions of one scheduling round have in common. Only placements change it during the round. */
public final class SchedulingRound {
    private final List<UpstreamLoad> withFreeSlots = new ArrayList<>();
    private final double meanFailureRatio;
    private final ServiceTimeModel timeModel;
    private final PacePolicy pace;
    private final long nowMillis;
    private boolean anyUpstream;
    private boolean anyUnusable;
    private int slots;
    private int freeSlots;

    /**
     * Starts a round and marks each upstream as usable or not.
     *
     * @param overdue whether output of an upstream is overdue
     */
    SchedulingRound(
            Collection<UpstreamLoad> loads,
            Predicate<UpstreamLoad> overdue,
            ServiceTimeModel timeModel,
            PacePolicy pace,
            long nowMillis) {
        this.timeModel = timeModel;
        this.pace = pace;
        this.nowMillis = nowMillis;
        double failureRatios = 0;
        for (UpstreamLoad load : loads) {
            failureRatios += load.failureRatio();
            boolean paused = load.paused(nowMillis);
            load.setUsable(!paused && !overdue.test(load));
            load.setCold(pace.isCold(load.upstream(), nowMillis));
            if (load.accepting()) {
                addAvailable(load, paused);
            }
        }
        meanFailureRatio = failureRatios / Math.max(1, loads.size());
    }

    private void addAvailable(UpstreamLoad load, boolean paused) {
        anyUpstream = true;
        anyUnusable |= !load.usable();
        int free = Math.max(0, freeSlots(load));
        slots += paused ? 0 : load.upstream().slots();
        freeSlots += paused ? 0 : free;
        if (load.usable() && free > 0) {
            withFreeSlots.add(load);
        }
    }

    /** Returns the slots of the upstream that are free and that this entry may use at its pace. */
    int freeSlots(UpstreamLoad load) {
        int own = load.running().size();
        return Math.min(
                load.upstream().slots() - load.outstanding(),
                pace.maxOwnRequests(load.upstream(), own, nowMillis) - own);
    }

    /** Updates the round after a placement on the upstream. */
    void onPlaced(UpstreamLoad load) {
        freeSlots -= load.paused(nowMillis) ? 0 : 1;
    }

    /** Returns the usable upstreams that had a free slot when the round started. */
    List<UpstreamLoad> withFreeSlots() {
        return withFreeSlots;
    }

    /** Returns whether any upstream is not draining. */
    boolean anyUpstream() {
        return anyUpstream;
    }

    /** Returns whether any upstream that is not draining is paused or has overdue output. */
    boolean anyUnusable() {
        return anyUnusable;
    }

    /** Returns the time of the round. */
    public long nowMillis() {
        return nowMillis;
    }

    /** Returns the model of the service times of the upstreams. */
    public ServiceTimeModel timeModel() {
        return timeModel;
    }

    /** Returns the mean of the failure ratios of all upstreams. */
    public double meanFailureRatio() {
        return meanFailureRatio;
    }

    /** Returns the fraction of the slots of available upstreams that is free, or 1 if there are no such slots. */
    public double freeSlotFraction() {
        return slots == 0 ? 1 : (double) freeSlots / slots;
    }
}
