package dev.wigeonward.core.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import com.google.common.base.Preconditions;

/**
 * Scheduler that queues the requests for one service and places them on its upstreams. An upstream gets no more
 * requests than it runs concurrently, so that this scheduler determines the order of service rather than the order of
 * arrival at the upstream. Not thread-safe.
 */
public final class ServiceScheduler {
    /**
     * Maximum wait for an upstream as a fraction of the objective; the rest is left for the time to the first event.
     */
    private static final double MAX_WAIT_FRACTION = 0.5;
    /**
     * Fraction of all slots that is kept free for more urgent requests, scaled by their share of the traffic. A free
     * slot spares an urgent request the wait, because entries cannot order their queues relative to those of other
     * entries.
     */
    private static final double RESERVED_SLOT_FRACTION = 0.15;
    /** Expected loss above which a placement is deferred while the request may still wait for a better one. */
    private static final double DEFERRAL_LOSS = 0.45;
    /** Expected loss above which an upstream is not chosen at all, because the answer would be of no use. */
    private static final double MAX_LOSS = 1.4;
    /** Fraction of the maximum wait after which placements are no longer deferred. */
    private static final double DEFERRAL_FRACTION = 0.6;

    /** Time for which an upstream gets no requests after it reported that it is full. */
    private static final long FULL_PAUSE_MILLIS = 60;
    /** Output is overdue after this time plus {@link #SILENCE_FACTOR} times the expected time. */
    private static final long MIN_SILENCE_MILLIS = 400;

    private static final double SILENCE_FACTOR = 4.0;
    /** Time constant of the moving average of the placement rate, in milliseconds. */
    private static final double RATE_TIME_CONSTANT_MILLIS = 1_000;

    /** Lower bound on the placement rate from which the expected wait is computed. */
    private static final double MIN_PLACEMENTS_PER_MILLI = 0.002;

    private final Map<String, UpstreamLoad> upstreams = new HashMap<>();
    private final WaitingRequests waiting = new WaitingRequests();
    private final ServiceTimeModel timeModel = new ServiceTimeModel();
    private final PlacementCost loss;
    private double placementsPerMilli = MIN_PLACEMENTS_PER_MILLI;
    private long rateUpdatedAtMillis;

    private ServiceScheduler(String zone) {
        this.loss = new PlacementCost(timeModel, zone);
    }

    /** Returns a scheduler without upstreams for an entry in the given zone. */
    public static ServiceScheduler inZone(String zone) {
        return new ServiceScheduler(zone);
    }

    /** Replaces the list of upstreams; the state of an upstream is kept if its lifetime and address are unchanged. */
    public void setUpstreams(Collection<Upstream> listed) {
        Map<String, UpstreamLoad> previous = new HashMap<>(upstreams);
        upstreams.clear();
        for (Upstream upstream : listed) {
            UpstreamLoad known = previous.get(upstream.id());
            if (known != null && known.upstream().sameLifetime(upstream)) {
                known.setUpstream(upstream);
                upstreams.put(upstream.id(), known);
            } else {
                upstreams.put(upstream.id(), new UpstreamLoad(upstream));
            }
        }
    }

    /** Replaces the load that other entries reported for each upstream, looked up by its identifier. */
    public void updatePeerLoads(Function<String, EntryLoad> loads) {
        upstreams.forEach((id, load) -> {
            EntryLoad reported = loads.apply(id);
            load.setPeerLoad(reported.requests(), reported.promptTokens());
        });
    }

    /** Adopts the unit times observed by other entries where they are newer than those of this entry. */
    public void adoptNewerUnitTimes(Collection<ObservedUnitTime> units, long nowMillis) {
        Map<String, ObservedUnitTime> byLifetime = new HashMap<>();
        units.forEach(unit -> byLifetime.put(unit.lifetimeId(), unit));
        for (UpstreamLoad load : upstreams.values()) {
            ObservedUnitTime unit = byLifetime.get(load.upstream().lifetimeId());
            if (unit != null) {
                load.adoptUnit(unit.unitTimeMillis(), nowMillis - unit.ageMillis());
            }
        }
    }

    /** Returns the unit times of all upstreams that have one. */
    public List<ObservedUnitTime> unitTimes(long nowMillis) {
        return upstreams.values().stream()
                .flatMap(load -> load.learnedUnit(nowMillis).stream())
                .toList();
    }

    /** Returns the unit times that have changed notably since they were last returned here or adopted. */
    public List<ObservedUnitTime> takeChangedUnitTimes(long nowMillis) {
        return upstreams.values().stream()
                .flatMap(load -> load.takeChangedUnit(nowMillis).stream())
                .toList();
    }

    /** Adds a request to the queue; {@link #decide} returns the decision on it. */
    public void offer(ScheduledRequest demand) {
        Preconditions.checkArgument(
                demand.objectiveMillis() > 0,
                "objectiveMillis of a request of kind %s must be positive but was %s",
                demand.kind(),
                demand.objectiveMillis());
        waiting.add(demand);
    }

    /** Removes a waiting request from the queue and returns whether it was waiting. */
    public boolean remove(ScheduledRequest demand) {
        return waiting.remove(demand);
    }

    /** Returns the decisions that are due: placements on free upstreams and refusals. */
    public List<Decision> decide(long nowMillis) {
        List<Decision> decisions = new ArrayList<>();
        if (waiting.size() == 0) {
            return decisions;
        }
        while (decideOne(decisions, nowMillis)) {
            // Each placement changes the loads that the next comparison uses, so requests are placed one at a time.
        }
        for (ScheduledRequest demand : waiting.removeOverdue(this::maxWaitMillis, nowMillis)) {
            refuse(demand, RefusalReason.WAITED_TOO_LONG, decisions);
        }
        return decisions;
    }

    /** Makes at most one decision and returns whether it made one. */
    private boolean decideOne(List<Decision> decisions, long nowMillis) {
        boolean anyUpstream =
                upstreams.values().stream().anyMatch(load -> !load.upstream().draining());
        for (ScheduledRequest demand : waiting.candidates(nowMillis)) {
            if (!anyUpstream) {
                waiting.remove(demand);
                refuse(demand, RefusalReason.NO_UPSTREAM, decisions);
                return true;
            }
            Optional<UpstreamLoad> best = findBest(demand, nowMillis);
            if (best.isPresent()) {
                waiting.remove(demand);
                place(demand, best.get(), decisions, nowMillis);
                return true;
            }
            if (!demand.isPastObjective(nowMillis) && expectedWaitMillis(demand, nowMillis) > maxWaitMillis(demand)) {
                waiting.remove(demand);
                refuse(demand, RefusalReason.QUEUE_TOO_LONG, decisions);
                return true;
            }
        }
        return false;
    }

    private long maxWaitMillis(ScheduledRequest demand) {
        return (long) (MAX_WAIT_FRACTION * demand.objectiveMillis());
    }

    private void place(ScheduledRequest demand, UpstreamLoad load, List<Decision> decisions, long nowMillis) {
        double typicalMillis = demand.isStreaming()
                ? timeModel.firstEventMillis(load.pendingPromptTokens() + demand.promptTokens())
                : timeModel.unitMillis();
        demand.recordPlacement(load, timeModel.slowness(load), typicalMillis, nowMillis);
        load.add(demand);
        waiting.onOutcome(demand, true);
        decayPlacementRate(nowMillis);
        placementsPerMilli += 1 / RATE_TIME_CONSTANT_MILLIS;
        decisions.add(new Decision.Placed(demand, load.upstream()));
    }

    private void decayPlacementRate(long nowMillis) {
        placementsPerMilli *= Math.exp((rateUpdatedAtMillis - nowMillis) / RATE_TIME_CONSTANT_MILLIS);
        rateUpdatedAtMillis = nowMillis;
    }

    private void refuse(ScheduledRequest demand, RefusalReason reason, List<Decision> decisions) {
        waiting.onOutcome(demand, false);
        decisions.add(new Decision.Refused(demand, reason));
    }

    private double expectedWaitMillis(ScheduledRequest demand, long nowMillis) {
        decayPlacementRate(nowMillis);
        return waiting.othersUpToRank(demand) / Math.max(MIN_PLACEMENTS_PER_MILLI, placementsPerMilli);
    }

    /**
     * Returns the upstream with a free slot and the lowest expected loss, or empty if the request should wait. If all
     * upstreams that may serve the request are paused, returns the result of {@link #findFallback}.
     */
    private Optional<UpstreamLoad> findBest(ScheduledRequest demand, long nowMillis) {
        demand.setExpectedEvents(timeModel.expectedEvents(demand.expectedOutputTokens()));
        UpstreamLoad best = null;
        double least =
                demand.ageMillis(nowMillis) > DEFERRAL_FRACTION * maxWaitMillis(demand) ? MAX_LOSS : DEFERRAL_LOSS;
        boolean anyUnpaused = false;
        boolean reserved = freeSlotFraction(nowMillis) <= RESERVED_SLOT_FRACTION * waiting.shareOfMoreUrgent(demand);
        double meanFailureRatio = meanFailureRatio();
        boolean anySuitable = anySuitable(demand);
        for (UpstreamLoad load : upstreams.values()) {
            if (!mayServe(demand, load, anySuitable)) {
                continue;
            }
            boolean paused = load.paused(nowMillis) || hasOverdueOutput(load, nowMillis);
            anyUnpaused |= !paused;
            if (paused || reserved || load.outstanding() >= load.upstream().slots()) {
                continue;
            }
            double expected = loss.expectedLoss(demand, load, meanFailureRatio, nowMillis);
            if (expected < least) {
                least = expected;
                best = load;
            }
        }
        if (best == null && !anyUnpaused) {
            return findFallback(demand);
        }
        return Optional.ofNullable(best);
    }

    private boolean anySuitable(ScheduledRequest demand) {
        return upstreams.values().stream()
                .map(UpstreamLoad::upstream)
                .anyMatch(upstream -> !upstream.draining() && demand.versions().isFirstChoice(upstream.version()));
    }

    /** Returns whether the version, the state and the exclusions of the request allow the upstream to serve it. */
    private static boolean mayServe(ScheduledRequest demand, UpstreamLoad load, boolean anySuitable) {
        Upstream upstream = load.upstream();
        boolean rightVersion = anySuitable
                ? demand.versions().isFirstChoice(upstream.version())
                : demand.versions().allows(upstream.version());
        return rightVersion && !upstream.draining() && !demand.isExcluded(upstream.id());
    }

    /** Returns the number of requests of all entries at upstreams of other versions than the given one. */
    public int outstandingAtOtherVersions(String version) {
        return upstreams.values().stream()
                .filter(load -> !load.upstream().version().equals(version))
                .mapToInt(UpstreamLoad::outstanding)
                .sum();
    }

    /** Returns the fraction of the slots of available upstreams that is free, or 1 if there are no such slots. */
    private double freeSlotFraction(long nowMillis) {
        double slots = 0;
        double free = 0;
        for (UpstreamLoad load : upstreams.values()) {
            if (!load.upstream().draining() && !load.paused(nowMillis)) {
                slots += load.upstream().slots();
                free += Math.max(0, load.upstream().slots() - load.outstanding());
            }
        }
        return slots == 0 ? 1 : free / slots;
    }

    private double meanFailureRatio() {
        double sum = 0;
        for (UpstreamLoad load : upstreams.values()) {
            sum += load.failureRatio();
        }
        return sum / Math.max(1, upstreams.size());
    }

    /**
     * Returns the upstream with the lowest failure ratio, including paused ones. Used when all upstreams are paused:
     * they may have recovered, and only another request can show it.
     */
    private Optional<UpstreamLoad> findFallback(ScheduledRequest demand) {
        UpstreamLoad best = null;
        boolean anySuitable = anySuitable(demand);
        for (UpstreamLoad load : upstreams.values()) {
            if (!mayServe(demand, load, anySuitable)
                    || load.outstanding() >= load.upstream().slots()) {
                continue;
            }
            if (best == null || load.failureRatio() < best.failureRatio()) {
                best = load;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns whether output for a request of this entry is overdue, so that the upstream may have stopped. */
    private boolean hasOverdueOutput(UpstreamLoad load, long nowMillis) {
        for (ScheduledRequest demand : load.running()) {
            if (isOutputOverdue(demand, load, nowMillis)) {
                return true;
            }
        }
        return false;
    }

    private boolean isOutputOverdue(ScheduledRequest demand, UpstreamLoad load, long nowMillis) {
        long since = Math.max(demand.placedAtMillis(), load.lastOutputAtMillis());
        double units = demand.isStreaming() && !demand.firstEventReceived()
                ? timeModel.firstEventMillis(demand.promptTokensAhead() + demand.promptTokens())
                : timeModel.unitMillis();
        return nowMillis - since > MIN_SILENCE_MILLIS + SILENCE_FACTOR * timeModel.slowness(load) * units;
    }

    /** Returns the upstreams that are excluded from placement until {@link #resume} is called for them. */
    public List<Upstream> suspended() {
        return upstreams.values().stream()
                .filter(UpstreamLoad::suspended)
                .map(UpstreamLoad::upstream)
                .toList();
    }

    /** Includes an upstream in placement again after it accepts connections. */
    public void resume(String upstreamId) {
        UpstreamLoad load = upstreams.get(upstreamId);
        if (load != null) {
            load.resume();
        }
    }

    /** Excludes an upstream from placement because it does not accept connections. */
    public void suspend(String upstreamId) {
        UpstreamLoad load = upstreams.get(upstreamId);
        if (load != null) {
            load.suspend();
        }
    }

    /** Records the first event of a stream and updates the estimated time to the first event with it. */
    public void onFirstEvent(ScheduledRequest demand, long nowMillis) {
        UpstreamLoad load = placedLoad(demand);
        load.onOutput(nowMillis);
        if (demand.firstEventReceived()) {
            return;
        }
        // Prompt tokens ahead may come from other entries; their count is known with a delay and would skew the fit.
        if (demand.promptTokensAhead() == 0) {
            double observed = nowMillis - demand.placedAtMillis();
            timeModel.observeFirstEvent(demand.promptTokens(), observed / timeModel.slowness(load));
        }
        demand.markFirstEventReceived();
    }

    /** Records that the upstream sent output for the request. */
    public void onOutput(ScheduledRequest demand, long nowMillis) {
        placedLoad(demand).onOutput(nowMillis);
    }

    /** Updates the unit time of the upstream with the mean pause between several events of a stream. */
    public void onEventIntervals(ScheduledRequest demand, double meanPauseMillis, long nowMillis) {
        placedLoad(demand).observeUnit(meanPauseMillis, nowMillis);
    }

    /** Updates the estimate of the events per output token with the length of a completed stream. */
    public void onStreamLength(ScheduledRequest demand, long events) {
        timeModel.observeLength(demand.expectedOutputTokens(), events);
    }

    /** Records the outcome of a request and frees its slot at the upstream. */
    public void onEnded(ScheduledRequest demand, Outcome outcome, long nowMillis) {
        UpstreamLoad load = placedLoad(demand);
        load.remove(demand);
        switch (outcome) {
            case ANSWERED -> {
                load.onOutput(nowMillis);
                load.onSuccess();
                if (!demand.isStreaming()) {
                    load.observeUnit(Math.max(1, nowMillis - demand.placedAtMillis()), nowMillis);
                }
            }
            case FAILED -> load.onFailure();
            case FULL -> load.pauseFor(FULL_PAUSE_MILLIS, nowMillis);
            case UNREACHABLE -> {
                load.onFailure();
                load.suspend();
            }
            case LEFT -> {
                if (isOutputOverdue(demand, load, nowMillis)) {
                    load.onFailure();
                    load.suspend();
                }
            }
            default -> throw new IllegalStateException("unknown outcome " + outcome);
        }
    }

    private static UpstreamLoad placedLoad(ScheduledRequest demand) {
        return demand.placedOn()
                .orElseThrow(() -> new IllegalStateException(
                        "request of kind " + demand.kind() + " must be placed on an upstream but was never placed"));
    }

    /** Recomputes the typical unit time, relative to which upstreams are compared; called several times a second. */
    public void updateTypicalUnitTime() {
        timeModel.updateUnitMillis(upstreams.values());
    }

    /** Returns the load of this entry at each upstream where it has requests, for reports to its peers. */
    public List<EntryLoad> ownLoads() {
        List<EntryLoad> loads = new ArrayList<>();
        for (UpstreamLoad load : upstreams.values()) {
            if (!load.running().isEmpty()) {
                loads.add(new EntryLoad(load.upstream().id(), load.running().size(), load.ownPendingPromptTokens()));
            }
        }
        return loads;
    }

    /** Returns the number of waiting requests. */
    public int waitingCount() {
        return waiting.size();
    }

    /** Returns one line for each upstream with its load, slowness and failure ratio, for a dump. */
    public List<String> dumpLines(long nowMillis) {
        return upstreams.values().stream()
                .map(load -> load.dumpLine(timeModel.slowness(load), nowMillis))
                .sorted()
                .toList();
    }

    /** Outcome of a request at its upstream. */
    public enum Outcome {
        /** The upstream sent a complete answer. */
        ANSWERED,
        /** The upstream sent an error or an incomplete answer. */
        FAILED,
        /** The upstream reported that it did not run the request. */
        FULL,
        /** The connection failed, or the upstream sent nothing. */
        UNREACHABLE,
        /**
         * The caller disconnected or the deadline passed; the scheduler checks whether the upstream's output was
         * overdue.
         */
        LEFT
    }

    /** Load of one entry at one upstream: its requests and the prompt tokens of those without a first event. */
    public record EntryLoad(String upstreamId, int requests, long promptTokens) {
        /** Returns the load of an entry without requests at the upstream. */
        public static EntryLoad none(String upstreamId) {
            return new EntryLoad(upstreamId, 0, 0);
        }
    }
}
