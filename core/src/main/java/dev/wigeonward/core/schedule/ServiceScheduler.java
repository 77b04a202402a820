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
 * Queue and placement for the upstreams of one service. An upstream gets no more requests than it runs at once, so that
 * the order of service is decided here and not by the order of arrival there. Not thread-safe.
 */
public final class ServiceScheduler {
    /** Longest wait for an upstream as a part of the objective; the rest is left for the first event. */
    private static final double LONGEST_WAIT_PART = 0.5;
    /**
     * Part of all places that is kept free for requests that go first, if all requests were such. A place that is free
     * when an urgent request comes saves it the wait; entries cannot order their queues by each other's.
     */
    private static final double RESERVED_PART = 0.15;
    /** Expected loss above which a placement is put off while the request may still wait for a better one. */
    private static final double PATIENT_LOSS = 0.45;
    /** Expected loss above which a placement is not made at all: the answer would be of no use. */
    private static final double LARGEST_LOSS = 1.4;
    /** Part of the longest wait after which a poor placement is taken. */
    private static final double PATIENT_PART = 0.6;

    private static final long FULL_PAUSE_MILLIS = 60;
    private static final long LEAST_SILENCE_MILLIS = 400;
    private static final double SILENCE_FACTOR = 4.0;
    /** Time constant of the rate of placements, in milliseconds. */
    private static final double RATE_MEMORY_MILLIS = 1_000;

    private static final double LEAST_RATE_PER_MILLI = 0.002;

    private final Map<String, UpstreamLoad> upstreams = new HashMap<>();
    private final WaitingRequests waiting = new WaitingRequests();
    private final ServicePace pace = new ServicePace();
    private final PlacementLoss loss;
    private double placementsPerMilli = LEAST_RATE_PER_MILLI;
    private long rateAtMillis;

    private ServiceScheduler(String zone) {
        this.loss = new PlacementLoss(pace, zone);
    }

    /** Returns a scheduler without upstreams for an entry in the given zone. */
    public static ServiceScheduler inZone(String zone) {
        return new ServiceScheduler(zone);
    }

    /** Replaces the list of upstreams; those that stay keep what was learned of them. */
    public void upstreams(Collection<Upstream> listed) {
        Map<String, UpstreamLoad> previous = new HashMap<>(upstreams);
        upstreams.clear();
        for (Upstream upstream : listed) {
            UpstreamLoad known = previous.get(upstream.id());
            if (known != null && known.upstream().sameLifetime(upstream)) {
                known.describe(upstream);
                upstreams.put(upstream.id(), known);
            } else {
                upstreams.put(upstream.id(), new UpstreamLoad(upstream));
            }
        }
    }

    /** Takes over what peers have sent to each upstream, by its identifier. */
    public void reportPeers(Function<String, OwnLoad> loads) {
        upstreams.forEach((id, load) -> {
            OwnLoad reported = loads.apply(id);
            load.reportPeers(reported.requests(), reported.promptTokens());
        });
    }

    /** Takes over what other entries have learned, as far as it is newer than what this one has learned. */
    public void adopt(Collection<LearnedUnit> units, long nowMillis) {
        Map<String, LearnedUnit> byLifetime = new HashMap<>();
        units.forEach(unit -> byLifetime.put(unit.lifetime(), unit));
        for (UpstreamLoad load : upstreams.values()) {
            LearnedUnit unit = byLifetime.get(load.upstream().lifetime());
            if (unit != null) {
                load.adoptUnit(unit.unitMillis(), nowMillis - unit.ageMillis());
            }
        }
    }

    /** Returns all that is known of the speed of the upstreams. */
    public List<LearnedUnit> learned(long nowMillis) {
        return upstreams.values().stream()
                .flatMap(load -> load.learned(nowMillis).stream())
                .toList();
    }

    /** Returns what has changed notably since the last call, so that reports stay small. */
    public List<LearnedUnit> learnedSinceTold(long nowMillis) {
        return upstreams.values().stream()
                .flatMap(load -> load.learnedSinceTold(nowMillis).stream())
                .toList();
    }

    /** Adds a request; the next {@link #decide} says what becomes of it. */
    public void offer(Demand demand) {
        Preconditions.checkArgument(demand.objectiveMillis() > 0, "objective of %s is not positive", demand.kind());
        waiting.add(demand);
    }

    /** Takes a waiting request back; returns false if it does not wait. */
    public boolean withdraw(Demand demand) {
        return waiting.remove(demand);
    }

    /** Returns all decisions that are due. */
    public List<Decision> decide(long nowMillis) {
        List<Decision> decisions = new ArrayList<>();
        if (waiting.size() == 0) {
            return decisions;
        }
        while (placeOne(decisions, nowMillis)) {
            // Each placement changes the loads that the next one is compared by.
        }
        for (Demand demand : waiting.removeOverdue(this::longestWaitMillis, nowMillis)) {
            refuse(demand, RefusalReason.WAITED_TOO_LONG, decisions);
        }
        return decisions;
    }

    private boolean placeOne(List<Decision> decisions, long nowMillis) {
        boolean anyUpstream =
                upstreams.values().stream().anyMatch(load -> !load.upstream().draining());
        for (Demand demand : waiting.candidates(nowMillis)) {
            if (!anyUpstream) {
                waiting.remove(demand);
                refuse(demand, RefusalReason.NO_UPSTREAM, decisions);
                return true;
            }
            Optional<UpstreamLoad> best = best(demand, nowMillis);
            if (best.isPresent()) {
                waiting.remove(demand);
                place(demand, best.get(), decisions, nowMillis);
                return true;
            }
            if (!demand.late(nowMillis) && expectedWaitMillis(demand, nowMillis) > longestWaitMillis(demand)) {
                waiting.remove(demand);
                refuse(demand, RefusalReason.QUEUE_TOO_LONG, decisions);
                return true;
            }
        }
        return false;
    }

    private long longestWaitMillis(Demand demand) {
        return (long) (LONGEST_WAIT_PART * demand.objectiveMillis());
    }

    private void place(Demand demand, UpstreamLoad load, List<Decision> decisions, long nowMillis) {
        double usualMillis = demand.generates()
                ? pace.firstEventMillis(load.unreadPromptTokens() + demand.promptTokens())
                : pace.unitMillis();
        demand.placeOn(load, pace.slowness(load), usualMillis, nowMillis);
        load.add(demand);
        waiting.onOutcome(demand, true);
        fadeRate(nowMillis);
        placementsPerMilli += 1 / RATE_MEMORY_MILLIS;
        decisions.add(new Decision.Place(demand, load.upstream()));
    }

    private void fadeRate(long nowMillis) {
        placementsPerMilli *= Math.exp((rateAtMillis - nowMillis) / RATE_MEMORY_MILLIS);
        rateAtMillis = nowMillis;
    }

    private void refuse(Demand demand, RefusalReason reason, List<Decision> decisions) {
        waiting.onOutcome(demand, false);
        decisions.add(new Decision.Refuse(demand, reason));
    }

    private double expectedWaitMillis(Demand demand, long nowMillis) {
        fadeRate(nowMillis);
        return waiting.othersOfRank(demand) / Math.max(LEAST_RATE_PER_MILLI, placementsPerMilli);
    }

    private Optional<UpstreamLoad> best(Demand demand, long nowMillis) {
        demand.expectEvents(pace.expectedEvents(demand.expectedOutputTokens()));
        UpstreamLoad best = null;
        double least =
                demand.ageMillis(nowMillis) > PATIENT_PART * longestWaitMillis(demand) ? LARGEST_LOSS : PATIENT_LOSS;
        boolean anyUnpaused = false;
        boolean reserved = freePart(nowMillis) <= RESERVED_PART * waiting.shareBefore(demand);
        double usualFailures = usualFailures();
        boolean anySuits = anySuits(demand);
        for (UpstreamLoad load : upstreams.values()) {
            if (!mayServe(demand, load, anySuits)) {
                continue;
            }
            boolean paused = load.paused(nowMillis) || silent(load, nowMillis);
            anyUnpaused |= !paused;
            if (paused || reserved || load.outstanding() >= load.upstream().slots()) {
                continue;
            }
            double expected = loss.of(demand, load, usualFailures, nowMillis);
            if (expected < least) {
                least = expected;
                best = load;
            }
        }
        if (best == null && !anyUnpaused) {
            return leastPaused(demand);
        }
        return Optional.ofNullable(best);
    }

    private boolean anySuits(Demand demand) {
        return upstreams.values().stream()
                .map(UpstreamLoad::upstream)
                .anyMatch(upstream -> !upstream.draining() && demand.versions().suits(upstream.version()));
    }

    private static boolean mayServe(Demand demand, UpstreamLoad load, boolean anySuits) {
        Upstream upstream = load.upstream();
        boolean rightVersion = anySuits
                ? demand.versions().suits(upstream.version())
                : demand.versions().allows(upstream.version());
        return rightVersion && !upstream.draining() && !demand.avoids(upstream.id());
    }

    /** Returns how many requests of all entries are at upstreams of other versions. */
    public int outstandingAtOthers(String version) {
        return upstreams.values().stream()
                .filter(load -> !load.upstream().version().equals(version))
                .mapToInt(UpstreamLoad::outstanding)
                .sum();
    }

    private double freePart(long nowMillis) {
        double places = 0;
        double free = 0;
        for (UpstreamLoad load : upstreams.values()) {
            if (!load.upstream().draining() && !load.paused(nowMillis)) {
                places += load.upstream().slots();
                free += Math.max(0, load.upstream().slots() - load.outstanding());
            }
        }
        return places == 0 ? 1 : free / places;
    }

    private double usualFailures() {
        double sum = 0;
        for (UpstreamLoad load : upstreams.values()) {
            sum += load.failureRatio();
        }
        return sum / Math.max(1, upstreams.size());
    }

    /** A service whose upstreams all look bad is still tried: the belief may be wrong, and nothing else can show it. */
    private Optional<UpstreamLoad> leastPaused(Demand demand) {
        UpstreamLoad best = null;
        boolean anySuits = anySuits(demand);
        for (UpstreamLoad load : upstreams.values()) {
            if (!mayServe(demand, load, anySuits)
                    || load.outstanding() >= load.upstream().slots()) {
                continue;
            }
            if (best == null || load.failureRatio() < best.failureRatio()) {
                best = load;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns whether the upstream owes output to this entry for so long that it may have stopped. */
    private boolean silent(UpstreamLoad load, long nowMillis) {
        for (Demand demand : load.running()) {
            if (owesOutput(demand, load, nowMillis)) {
                return true;
            }
        }
        return false;
    }

    private boolean owesOutput(Demand demand, UpstreamLoad load, long nowMillis) {
        long since = Math.max(demand.placedAtMillis(), load.lastOutputAtMillis());
        double units = demand.generates() && !demand.answering()
                ? pace.firstEventMillis(demand.promptTokensAhead() + demand.promptTokens())
                : pace.unitMillis();
        return nowMillis - since > LEAST_SILENCE_MILLIS + SILENCE_FACTOR * pace.slowness(load) * units;
    }

    /** Returns the upstreams that get nothing until {@link #resume} is told that they accept connections. */
    public List<Upstream> suspended() {
        return upstreams.values().stream()
                .filter(UpstreamLoad::suspended)
                .map(UpstreamLoad::upstream)
                .toList();
    }

    /** An upstream accepts connections again. */
    public void resume(String upstreamId) {
        UpstreamLoad load = upstreams.get(upstreamId);
        if (load != null) {
            load.resume();
        }
    }

    /** An upstream does not accept connections. */
    public void suspend(String upstreamId) {
        UpstreamLoad load = upstreams.get(upstreamId);
        if (load != null) {
            load.suspend();
        }
    }

    /** The upstream sent the first event of a stream. */
    public void onFirstEvent(Demand demand, long nowMillis) {
        UpstreamLoad load = placedLoad(demand);
        load.onOutput(nowMillis);
        if (demand.answering()) {
            return;
        }
        // Tokens ahead of it, which other entries may have sent, are known with a delay and would blur the relation.
        if (demand.promptTokensAhead() == 0) {
            double observed = nowMillis - demand.placedAtMillis();
            pace.learnFirstEvent(demand.promptTokens(), observed / pace.slowness(load));
        }
        demand.startAnswering();
    }

    /** The upstream sent some bytes. */
    public void onOutput(Demand demand, long nowMillis) {
        placedLoad(demand).onOutput(nowMillis);
    }

    /** Several events of a stream came; learns from the mean pause between them. */
    public void onPauses(Demand demand, double meanPauseMillis, long nowMillis) {
        placedLoad(demand).learnUnit(meanPauseMillis, nowMillis);
    }

    /** A stream ended after this many events; learns how long answers are. */
    public void onLength(Demand demand, long events) {
        pace.learnLength(demand.expectedOutputTokens(), events);
    }

    /** The request ended at its upstream; frees its place. */
    public void onEnded(Demand demand, Outcome outcome, long nowMillis) {
        UpstreamLoad load = placedLoad(demand);
        load.remove(demand);
        switch (outcome) {
            case ANSWERED -> {
                load.onOutput(nowMillis);
                load.onSuccess();
                if (!demand.generates()) {
                    load.learnUnit(Math.max(1, nowMillis - demand.placedAtMillis()), nowMillis);
                }
            }
            case FAILED -> load.onFailure();
            case FULL -> load.pauseBriefly(FULL_PAUSE_MILLIS, nowMillis);
            case UNREACHABLE -> {
                load.onFailure();
                load.suspend();
            }
            case LEFT -> {
                if (owesOutput(demand, load, nowMillis)) {
                    load.onFailure();
                    load.suspend();
                }
            }
            default -> throw new IllegalStateException("unknown outcome " + outcome);
        }
    }

    private static UpstreamLoad placedLoad(Demand demand) {
        return demand.placedOn()
                .orElseThrow(() -> new IllegalStateException("request of kind " + demand.kind() + " was not placed"));
    }

    /** Compares the upstreams afresh; called several times a second. */
    public void compareUpstreams() {
        pace.usualUnit(upstreams.values());
    }

    /** Returns what this entry has at each upstream, for its peers. */
    public List<OwnLoad> ownLoads() {
        List<OwnLoad> loads = new ArrayList<>();
        for (UpstreamLoad load : upstreams.values()) {
            if (!load.running().isEmpty()) {
                loads.add(new OwnLoad(load.upstream().id(), load.running().size(), load.ownUnreadPromptTokens()));
            }
        }
        return loads;
    }

    /** Returns how many requests wait. */
    public int waitingCount() {
        return waiting.size();
    }

    /** Returns one line for each upstream: load, slowness and failures, for a dump. */
    public List<String> describe(long nowMillis) {
        return upstreams.values().stream()
                .map(load -> load.line(pace.slowness(load), nowMillis))
                .sorted()
                .toList();
    }

    /** How a request ended at its upstream. */
    public enum Outcome {
        /** A complete answer came. */
        ANSWERED,
        /** A failure or a broken answer came. */
        FAILED,
        /** The upstream said that it did not run the request. */
        FULL,
        /** No connection was made, or nothing came. */
        UNREACHABLE,
        /** The caller left or the time was up; whether the upstream was silent is judged here. */
        LEFT
    }

    /** What an entry has at one upstream. */
    public record OwnLoad(String upstreamId, int requests, long promptTokens) {
        /** Returns the load of an entry that has nothing there. */
        public static OwnLoad none(String upstreamId) {
            return new OwnLoad(upstreamId, 0, 0);
        }
    }
}
