package dev.wigeonward.core.schedule;

/**
 * Estimator of the expected loss of a placement, as a fraction of the value of one answer. The loss covers an answer
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
    private static final double LATE_LOSS = 0.7;
    /**
     * Steepness of the lateness probability: an answer estimated at half of the remaining time is late in 6% of cases.
     */
    private static final double LATE_STEEPNESS = 4;
    /** Steepness for the length of an answer; lower because the estimate is often off by a factor of two. */
    private static final double LENGTH_STEEPNESS = 2.4;
    /** Steepness for pauses between events; higher because they vary less than the time to the first event. */
    private static final double PAUSE_STEEPNESS = 8;

    /** Loss per unit by which the failure ratio of the upstream exceeds the mean of all upstreams. */
    private static final double FAILURE_LOSS = 1.0;
    /** Loss of a placement in another zone than that of the entry. */
    private static final double REMOTE_ZONE_LOSS = 0.004;
    /** Loss at an upstream whose slots are all occupied; proportional to the occupied fraction. */
    private static final double OCCUPANCY_LOSS = 0.02;
    /** Loss of an answer whose expected time reaches the objective; proportional to that time up to there. */
    private static final double TIME_LOSS = 0.1;

    private final ServiceTimeModel timeModel;
    private final String zone;

    PlacementCost(ServiceTimeModel timeModel, String zone) {
        this.timeModel = timeModel;
        this.zone = zone;
    }

    /** Returns the expected loss of placing the request on the upstream, where 1 is the value of one answer. */
    double expectedLoss(ScheduledRequest demand, UpstreamLoad load, double meanFailureRatio, long nowMillis) {
        double occupancy = (double) load.outstanding() / load.upstream().slots();
        double zoneLoss = load.upstream().zone().equals(zone) ? 0 : REMOTE_ZONE_LOSS;
        double commonLoss = zoneLoss
                + OCCUPANCY_LOSS * occupancy
                + FAILURE_LOSS * Math.max(0, load.failureRatio() - meanFailureRatio);
        double firstMillis = expectedFirstMillis(demand, load);
        double remaining = Math.max(1, demand.remainingObjectiveMillis(nowMillis));
        double lateLoss = demand.isPastObjective(nowMillis)
                ? 0
                : LATE_LOSS * probabilityAbove(firstMillis, remaining, LATE_STEEPNESS);
        double timeLoss = TIME_LOSS * Math.min(1, firstMillis / demand.objectiveMillis());
        if (!demand.isStreaming()) {
            return commonLoss + lateLoss + timeLoss;
        }
        return commonLoss
                + lateLoss
                + timeLoss
                + incompleteLoss(demand, load, firstMillis, nowMillis)
                + pauseLoss(demand, load);
    }

    private double expectedFirstMillis(ScheduledRequest demand, UpstreamLoad load) {
        if (!demand.isStreaming()) {
            return timeModel.slowness(load) * timeModel.unitMillis();
        }
        return timeModel.slowness(load)
                * timeModel.firstEventMillis(load.pendingPromptTokens() + demand.promptTokens());
    }

    private double incompleteLoss(ScheduledRequest demand, UpstreamLoad load, double firstMillis, long nowMillis) {
        double remaining = demand.deadlineAtMillis() - nowMillis - firstMillis;
        if (remaining <= 0) {
            return 1;
        }
        double streamMillis = demand.expectedEvents() * timeModel.slowness(load) * timeModel.unitMillis();
        return probabilityAbove(streamMillis, remaining, LENGTH_STEEPNESS);
    }

    private double pauseLoss(ScheduledRequest demand, UpstreamLoad load) {
        if (demand.maxPauseMillis() <= 0 || load.outstanding() == 0) {
            return 0;
        }
        long prefillTokens =
                Math.min(PREFILL_TOKENS_BETWEEN_EVENTS, load.pendingPromptTokens() + demand.promptTokens());
        double pause = timeModel.slowness(load) * (timeModel.unitMillis() + timeModel.perTokenMillis() * prefillTokens);
        return LATE_LOSS * load.outstanding() * probabilityAbove(pause, demand.maxPauseMillis(), PAUSE_STEEPNESS);
    }

    /** Returns the probability that a quantity with the given estimate exceeds the bound. */
    private static double probabilityAbove(double estimate, double bound, double steepness) {
        return 1 / (1 + Math.pow(bound / Math.max(0.1, estimate), steepness));
    }
}
