package dev.wigeonward.core.schedule.choice;

import dev.wigeonward.core.schedule.AvailableUpstream;
import dev.wigeonward.core.schedule.PseudoRandom;
import dev.wigeonward.core.schedule.ScheduledRequest;
import dev.wigeonward.core.schedule.SchedulingRound;
import dev.wigeonward.core.schedule.ServiceTimeModel;
import dev.wigeonward.core.schedule.UpstreamLoad;

/**
 * Estimator of the expected cost of a placement, as a fraction of the value of one answer. The cost covers an answer
 * that is late, an answer that is incomplete at the deadline, and running streams at the same upstream that are delayed
 * by the prefill of the new prompt.
 */
final class PlacementCost {
    /**
     * Most prompt tokens that an engine prefills between two events of other streams: five steps of 1,024 tokens, as in
     * engines with chunked prefill.
     */
    private static final long PREFILL_TOKENS_BETWEEN_EVENTS = 5_120;
    /** Fraction of its value that a late answer loses, as operators commonly weight it. */
    private static final double LATE_COST = 0.7;
    /**
     * Steepness of the lateness probability: an answer estimated at half of the remaining time is late in 6% of cases.
     */
    private static final double LATE_STEEPNESS = 4;
    /** Steepness for the length of an answer; lower because the estimate is often off by a factor of two. */
    private static final double LENGTH_STEEPNESS = 2.4;
    /** Steepness for pauses between events; higher because they vary less than the time to the first event. */
    private static final double PAUSE_STEEPNESS = 8;

    /** Cost per unit by which the failure ratio of the upstream exceeds the mean of all upstreams. */
    private static final double FAILURE_COST = 1.0;
    /** Cost of a placement in another zone than that of the entry. */
    private static final double REMOTE_ZONE_COST = 0.004;
    /** Cost at an upstream whose slots are all occupied; proportional to the occupied fraction. */
    private static final double OCCUPANCY_COST = 0.02;
    /** Cost of an answer whose expected time reaches the objective; proportional to that time up to there. */
    private static final double TIME_COST = 0.1;
    /** Benefit of kept tokens whose prefill would take as long as the objective; that time is left to others. */
    private static final double KEPT_BENEFIT = 1.0;
    /**
     * Largest random cost. It makes entries that see the same loads choose different upstreams, where they would
     * otherwise all choose the same one before any of them has reported its choice.
     */
    private static final double SPREAD_COST = 0.01;

    private final String zone;

    PlacementCost(String zone) {
        this.zone = zone;
    }

    /** Returns the expected cost of placing the request on the upstream, where 1 is the value of one answer. */
    double expectedCost(ScheduledRequest request, AvailableUpstream upstream, SchedulingRound round) {
        UpstreamLoad load = upstream.load();
        int keptTokens = upstream.keptTokens();
        ServiceTimeModel timeModel = round.timeModel();
        long nowMillis = round.nowMillis();
        long tokensToRead = Math.max(0, request.promptTokens() - keptTokens);
        double occupancy = (double) load.outstanding() / load.upstream().slots();
        double zoneCost = load.upstream().zone().equals(zone) ? 0 : REMOTE_ZONE_COST;
        double commonCost = zoneCost
                + OCCUPANCY_COST * occupancy
                + SPREAD_COST
                        * PseudoRandom.fraction(
                                request.spreadKey(), load.upstream().id().hashCode())
                + FAILURE_COST * Math.max(0, load.failureRatio() - round.meanFailureRatio());
        double firstMillis = expectedFirstMillis(timeModel, request, load, tokensToRead);
        double remaining = Math.max(1, request.remainingObjectiveMillis(nowMillis));
        double lateCost = request.isPastObjective(nowMillis)
                ? 0
                : LATE_COST * probabilityAbove(firstMillis, remaining, LATE_STEEPNESS);
        double timeCost = TIME_COST * Math.min(1, firstMillis / request.objectiveMillis());
        if (!request.isStreaming()) {
            return commonCost + lateCost + timeCost;
        }
        return commonCost
                + lateCost
                + timeCost
                + incompleteCost(timeModel, request, load, firstMillis, nowMillis)
                + pauseCost(timeModel, request, load, tokensToRead)
                - keptBenefit(timeModel, request, keptTokens);
    }

    private static double expectedFirstMillis(
            ServiceTimeModel timeModel, ScheduledRequest request, UpstreamLoad load, long tokensToRead) {
        if (!request.isStreaming()) {
            return timeModel.slowness(load) * timeModel.unitTimeMillis();
        }
        return timeModel.slowness(load) * timeModel.firstEventMillis(load.pendingPromptTokens() + tokensToRead);
    }

    /** A benefit and not a cost of the other tokens, which would let a long prompt wait for a better upstream. */
    private static double keptBenefit(ServiceTimeModel timeModel, ScheduledRequest request, int keptTokens) {
        return KEPT_BENEFIT * Math.min(1, timeModel.perTokenMillis() * keptTokens / request.objectiveMillis());
    }

    private static double incompleteCost(
            ServiceTimeModel timeModel,
            ScheduledRequest request,
            UpstreamLoad load,
            double firstMillis,
            long nowMillis) {
        double remaining = request.deadlineAtMillis() - nowMillis - firstMillis;
        if (remaining <= 0) {
            return 1;
        }
        double streamMillis = request.expectedEvents() * timeModel.slowness(load) * timeModel.unitTimeMillis();
        return probabilityAbove(streamMillis, remaining, LENGTH_STEEPNESS);
    }

    private static double pauseCost(
            ServiceTimeModel timeModel, ScheduledRequest request, UpstreamLoad load, long tokensToRead) {
        if (request.maxPauseMillis() <= 0 || load.outstanding() == 0) {
            return 0;
        }
        long prefillTokens = Math.min(PREFILL_TOKENS_BETWEEN_EVENTS, load.pendingPromptTokens() + tokensToRead);
        double pause =
                timeModel.slowness(load) * (timeModel.unitTimeMillis() + timeModel.perTokenMillis() * prefillTokens);
        return LATE_COST * load.outstanding() * probabilityAbove(pause, request.maxPauseMillis(), PAUSE_STEEPNESS);
    }

    /** Returns the probability that a quantity with the given estimate exceeds the bound. */
    private static double probabilityAbove(double estimate, double bound, double steepness) {
        return 1 / (1 + Math.pow(bound / Math.max(0.1, estimate), steepness));
    }
}
