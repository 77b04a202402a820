package dev.wigeonward.core.schedule;

/**
 * Expected loss of a placement as a part of the worth of one answer: that it comes late, that it is not complete by the
 * deadline, and that reading its prompt makes the streams late that run at the same upstream.
 */
final class PlacementLoss {
    /**
     * Prompt tokens that an engine reads between two events of other streams: five steps of 1,024 tokens, as engines
     * with chunked prefill do.
     */
    private static final long TOKENS_READ_BETWEEN_EVENTS = 5_120;
    /** Part of its worth that a late answer loses, as operators commonly weigh it. */
    private static final double LATE_LOSS = 0.7;
    /** Steepness of the belief that an answer is late around the estimate: one of half the time is late in 6%. */
    private static final double LATE_STEEPNESS = 4;
    /** The same for the length of an answer, whose estimate is often off by a factor of two. */
    private static final double LENGTH_STEEPNESS = 2.4;
    /** Steepness for pauses, which vary less than the time to the first event. */
    private static final double PAUSE_STEEPNESS = 8;

    private static final double FAILURE_LOSS = 1.0;
    private static final double OTHER_ZONE_LOSS = 0.004;
    private static final double CROWD_LOSS = 0.02;
    private static final double TIME_LOSS = 0.1;

    private final ServicePace pace;
    private final String zone;

    PlacementLoss(ServicePace pace, String zone) {
        this.pace = pace;
        this.zone = zone;
    }

    double of(Demand demand, UpstreamLoad load, double usualFailures, long nowMillis) {
        double crowd = (double) load.outstanding() / load.upstream().slots();
        double zoneLoss = load.upstream().zone().equals(zone) ? 0 : OTHER_ZONE_LOSS;
        double common = zoneLoss + CROWD_LOSS * crowd + FAILURE_LOSS * Math.max(0, load.failureRatio() - usualFailures);
        double expected = expectedFirstMillis(demand, load);
        double remaining = Math.max(1, demand.remainingObjectiveMillis(nowMillis));
        double late = demand.late(nowMillis) ? 0 : LATE_LOSS * exceeds(expected, remaining, LATE_STEEPNESS);
        double time = TIME_LOSS * Math.min(1, expected / demand.objectiveMillis());
        if (!demand.generates()) {
            return common + late + time;
        }
        return common + late + time + incompleteLoss(demand, load, expected, nowMillis) + pauseLoss(demand, load);
    }

    private double expectedFirstMillis(Demand demand, UpstreamLoad load) {
        if (!demand.generates()) {
            return pace.slowness(load) * pace.unitMillis();
        }
        return pace.slowness(load) * pace.firstEventMillis(load.unreadPromptTokens() + demand.promptTokens());
    }

    private double incompleteLoss(Demand demand, UpstreamLoad load, double firstMillis, long nowMillis) {
        double left = demand.deadlineAtMillis() - nowMillis - firstMillis;
        if (left <= 0) {
            return 1;
        }
        double needed = demand.expectedEvents() * pace.slowness(load) * pace.unitMillis();
        return exceeds(needed, left, LENGTH_STEEPNESS);
    }

    private double pauseLoss(Demand demand, UpstreamLoad load) {
        if (demand.maxPauseMillis() <= 0 || load.outstanding() == 0) {
            return 0;
        }
        long read = Math.min(TOKENS_READ_BETWEEN_EVENTS, load.unreadPromptTokens() + demand.promptTokens());
        double pause = pace.slowness(load) * (pace.unitMillis() + pace.perTokenMillis() * read);
        return LATE_LOSS * load.outstanding() * exceeds(pause, demand.maxPauseMillis(), PAUSE_STEEPNESS);
    }

    /** Returns how likely a quantity with this estimate is above the bound. */
    private static double exceeds(double estimate, double bound, double steepness) {
        return 1 / (1 + Math.pow(bound / Math.max(0.1, estimate), steepness));
    }
}
