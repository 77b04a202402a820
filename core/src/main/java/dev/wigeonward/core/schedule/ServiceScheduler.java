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
     * Prompt tokens that an engine reads between two events of other streams: five steps of 1,024 tokens, as engines
     * with chunked prefill do.
     */
    private static final long TOKENS_READ_BETWEEN_EVENTS = 5_120;
    /** Part of the allowed pause that a placement may be expected to use. */
    private static final double USABLE_PAUSE_PART = 0.85;
    /** Cost of a placement in another zone; breaks ties only. */
    private static final double OTHER_ZONE_MILLIS = 3;
    /** Cost of a full upstream relative to an idle one, as a part of the pause between events. */
    private static final double CROWD_COST_PAUSES = 1.0;
    /** Cost of an upstream that fails all requests, as a multiple of the objective. */
    private static final double FAILURE_COST_OBJECTIVES = 1.5;

    private static final long FULL_PAUSE_MILLIS = 60;
    private static final long LEAST_SILENCE_MILLIS = 400;
    private static final double SILENCE_FACTOR = 4.0;
    private static final double RATE_SHARE = 0.1;
    private static final double LEAST_RATE_PER_MILLI = 0.002;
    private static final long SHORTEST_RETRY_AFTER_MILLIS = 100;
    private static final long LONGEST_RETRY_AFTER_MILLIS = 3_000;
    /** Slowness that peers and answers agree on is kept near 1 on average by this share a second. */
    private static final double NORMALIZING_SHARE = 0.2;

    private final String zone;
    private final Map<String, UpstreamLoad> upstreams = new HashMap<>();
    private final WaitingRequests waiting = new WaitingRequests();
    private final ServicePace pace = new ServicePace();
    private double placementsPerMilli = LEAST_RATE_PER_MILLI;
    private long lastPlacementAtMillis = Long.MIN_VALUE;

    private ServiceScheduler(String zone) {
        this.zone = zone;
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
        while (placeOne(decisions, nowMillis)) {
            // Each placement changes the loads that the next one is compared by.
        }
        for (Demand demand : waiting.removeWaitingLongerThan(LONGEST_WAIT_PART, nowMillis)) {
            refuse(demand, RefusalReason.WAITED_TOO_LONG, decisions);
        }
        return decisions;
    }

    private boolean placeOne(List<Decision> decisions, long nowMillis) {
        for (Demand demand : waiting.heads(nowMillis)) {
            if (upstreams.values().stream().allMatch(load -> load.upstream().draining())) {
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
            if (expectedWaitMillis(demand) > LONGEST_WAIT_PART * demand.objectiveMillis()) {
                waiting.remove(demand);
                refuse(demand, RefusalReason.QUEUE_TOO_LONG, decisions);
                return true;
            }
        }
        return false;
    }

    private void place(Demand demand, UpstreamLoad load, List<Decision> decisions, long nowMillis) {
        demand.placeOn(load, load.unreadPromptTokens(), nowMillis);
        load.add(demand);
        waiting.onOutcome(demand, true);
        learnRate(nowMillis);
        decisions.add(new Decision.Place(demand, load.upstream()));
    }

    private void learnRate(long nowMillis) {
        if (lastPlacementAtMillis != Long.MIN_VALUE) {
            double rate = 1.0 / Math.max(0.5, nowMillis - lastPlacementAtMillis);
            placementsPerMilli += RATE_SHARE * (rate - placementsPerMilli);
            placementsPerMilli = Math.max(LEAST_RATE_PER_MILLI, placementsPerMilli);
        }
        lastPlacementAtMillis = nowMillis;
    }

    private void refuse(Demand demand, RefusalReason reason, List<Decision> decisions) {
        waiting.onOutcome(demand, false);
        decisions.add(new Decision.Refuse(demand, reason, retryAfterMillis(demand)));
    }

    private long retryAfterMillis(Demand demand) {
        long wait = (long) expectedWaitMillis(demand) + demand.objectiveMillis();
        return Math.max(SHORTEST_RETRY_AFTER_MILLIS, Math.min(LONGEST_RETRY_AFTER_MILLIS, wait));
    }

    private double expectedWaitMillis(Demand demand) {
        return waiting.aheadOf(demand) / placementsPerMilli;
    }

    private Optional<UpstreamLoad> best(Demand demand, long nowMillis) {
        UpstreamLoad best = null;
        double bestCost = Double.MAX_VALUE;
        boolean anyUnpaused = false;
        for (UpstreamLoad load : upstreams.values()) {
            if (load.upstream().draining() || demand.avoids(load.upstream().id())) {
                continue;
            }
            boolean paused = load.paused(nowMillis) || silent(load, nowMillis);
            anyUnpaused |= !paused;
            if (paused || load.outstanding() >= load.upstream().slots()) {
                continue;
            }
            double cost = cost(demand, load);
            if (cost < bestCost) {
                bestCost = cost;
                best = load;
            }
        }
        if (best == null && !anyUnpaused) {
            return leastPaused(demand);
        }
        return Optional.ofNullable(best);
    }

    /** A service whose upstreams all look bad is still tried: the belief may be wrong, and nothing else can show it. */
    private Optional<UpstreamLoad> leastPaused(Demand demand) {
        UpstreamLoad best = null;
        for (UpstreamLoad load : upstreams.values()) {
            if (load.upstream().draining()
                    || demand.avoids(load.upstream().id())
                    || load.outstanding() >= load.upstream().slots()) {
                continue;
            }
            if (best == null || load.pausedUntilMillis() < best.pausedUntilMillis()) {
                best = load;
            }
        }
        return Optional.ofNullable(best);
    }

    private double cost(Demand demand, UpstreamLoad load) {
        double crowd = (double) load.outstanding() / load.upstream().slots();
        double zoneCost = load.upstream().zone().equals(zone) ? 0 : OTHER_ZONE_MILLIS;
        double failures = load.failureRatio() * FAILURE_COST_OBJECTIVES * demand.objectiveMillis();
        if (!demand.generates()) {
            return load.slowness() * pace.callMillis() * (1 + crowd) + zoneCost + failures;
        }
        double firstEvent = load.slowness() * pace.firstEventMillis(load.unreadPromptTokens() + demand.promptTokens());
        double crowding = CROWD_COST_PAUSES * crowd * load.slowness() * pace.pauseMillis();
        return firstEvent + crowding + zoneCost + failures + pauseCost(demand, load);
    }

    /** Returns what reading the prompt costs the streams that run there: their pauses may become too long. */
    private double pauseCost(Demand demand, UpstreamLoad load) {
        if (demand.maxPauseMillis() <= 0 || load.outstanding() == 0) {
            return 0;
        }
        long read = Math.min(TOKENS_READ_BETWEEN_EVENTS, load.unreadPromptTokens() + demand.promptTokens());
        double pause = load.slowness() * (pace.pauseMillis() + pace.perTokenMillis() * read);
        double allowed = USABLE_PAUSE_PART * demand.maxPauseMillis();
        return pause <= allowed ? 0 : (pause - allowed) * load.outstanding();
    }

    /** Returns whether the upstream owes output to this entry for so long that it may have stopped. */
    private boolean silent(UpstreamLoad load, long nowMillis) {
        for (Demand demand : load.running()) {
            long since = Math.max(demand.placedAtMillis(), load.lastOutputAtMillis());
            double expected = demand.answering()
                    ? load.slowness() * pace.pauseMillis()
                    : demand.generates()
                            ? load.slowness()
                                    * pace.firstEventMillis(demand.promptTokensAhead() + demand.promptTokens())
                            : load.slowness() * pace.callMillis();
            if (nowMillis - since > LEAST_SILENCE_MILLIS + SILENCE_FACTOR * expected) {
                return true;
            }
        }
        return false;
    }

    /** The upstream sent the first event of a stream. */
    public void onFirstEvent(Demand demand, long nowMillis) {
        UpstreamLoad load = placedLoad(demand);
        load.onOutput(nowMillis);
        if (demand.answering()) {
            return;
        }
        long tokens = demand.promptTokensAhead() + demand.promptTokens();
        double observed = nowMillis - demand.placedAtMillis();
        double slowness = load.slowness();
        load.learnSlowness(observed / (slowness * pace.firstEventMillis(tokens)));
        pace.learnFirstEvent(tokens, observed / slowness);
        demand.startAnswering();
    }

    /** The upstream sent some bytes. */
    public void onOutput(Demand demand, long nowMillis) {
        placedLoad(demand).onOutput(nowMillis);
    }

    /** Several events of a stream came; learns from the mean pause between them. */
    public void onPauses(Demand demand, double meanPauseMillis) {
        UpstreamLoad load = placedLoad(demand);
        double slowness = load.slowness();
        load.learnSlowness(meanPauseMillis / (slowness * pace.pauseMillis()));
        pace.learnPause(meanPauseMillis / slowness);
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
                    double observed = Math.max(1, nowMillis - demand.placedAtMillis());
                    double slowness = load.slowness();
                    load.learnSlowness(observed / (slowness * pace.callMillis()));
                    pace.learnCall(observed / slowness);
                }
            }
            case FAILED -> load.onFailure();
            case FULL -> load.pauseBriefly(FULL_PAUSE_MILLIS, nowMillis);
            case UNREACHABLE -> {
                load.onFailure();
                load.pause(nowMillis);
            }
            case LEFT -> {
                // The caller's leaving says nothing about the upstream.
            }
            default -> throw new IllegalStateException("unknown outcome " + outcome);
        }
    }

    private static UpstreamLoad placedLoad(Demand demand) {
        return demand.placedOn()
                .orElseThrow(() -> new IllegalStateException("request of kind " + demand.kind() + " was not placed"));
    }

    /** Keeps the mean slowness near 1, so that only differences between upstreams are attributed to them. */
    public void normalize() {
        if (upstreams.isEmpty()) {
            return;
        }
        double sum = 0;
        for (UpstreamLoad load : upstreams.values()) {
            sum += Math.log(load.slowness());
        }
        double factor = Math.exp(-NORMALIZING_SHARE * sum / upstreams.size());
        upstreams.values().forEach(load -> load.scaleSlowness(factor));
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
                .map(load -> "%s %s zone=%s version=%s running=%d outstanding=%d slots=%d slowness=%.2f failures=%.2f%s"
                        .formatted(
                                load.upstream().id(),
                                load.upstream().address(),
                                load.upstream().zone(),
                                load.upstream().version(),
                                load.running().size(),
                                load.outstanding(),
                                load.upstream().slots(),
                                load.slowness(),
                                load.failureRatio(),
                                load.upstream().draining() ? " draining" : load.paused(nowMillis) ? " paused" : ""))
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
        /** The caller left. */
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
