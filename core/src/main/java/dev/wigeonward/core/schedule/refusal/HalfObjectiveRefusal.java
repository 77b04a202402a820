package dev.wigeonward.core.schedule.refusal;

import dev.wigeonward.core.schedule.RefusalPolicy;
import dev.wigeonward.core.schedule.ScheduledRequest;
import dev.wigeonward.core.schedule.SchedulingRound;

/**
 * Policy that refuses a request after half of its objective, or at once if the recent rate of placements would let it
 * wait longer.
 */
public final class HalfObjectiveRefusal implements RefusalPolicy {
    /**
     * Maximum wait for an upstream as a fraction of the objective; the rest is left for the time to the first event.
     */
    private static final double MAX_WAIT_FRACTION = 0.5;
    /** Time constant of the moving average of the placement rate, in milliseconds. */
    private static final double RATE_TIME_CONSTANT_MILLIS = 1_000;

    /** Lower bound on the placement rate from which the expected wait is computed. */
    private static final double MIN_PLACEMENTS_PER_MILLI = 0.002;

    private double placementsPerMilli = MIN_PLACEMENTS_PER_MILLI;
    private long rateUpdatedAtMillis;

    private HalfObjectiveRefusal() {}

    /** Returns a policy that has not seen any placement. */
    public static HalfObjectiveRefusal create() {
        return new HalfObjectiveRefusal();
    }

    @Override
    public long maxWaitMillis(ScheduledRequest request) {
        return (long) (MAX_WAIT_FRACTION * request.objectiveMillis());
    }

    @Override
    public boolean isQueueTooLong(ScheduledRequest request, int countAhead, SchedulingRound round) {
        if (request.isPastObjective(round.nowMillis())) {
            return false;
        }
        decayPlacementRate(round.nowMillis());
        double expectedWaitMillis = countAhead / Math.max(MIN_PLACEMENTS_PER_MILLI, placementsPerMilli);
        return expectedWaitMillis > maxWaitMillis(request);
    }

    @Override
    public void onPlaced(ScheduledRequest request, long nowMillis) {
        decayPlacementRate(nowMillis);
        placementsPerMilli += 1 / RATE_TIME_CONSTANT_MILLIS;
    }

    private void decayPlacementRate(long nowMillis) {
        placementsPerMilli *= Math.exp((rateUpdatedAtMillis - nowMillis) / RATE_TIME_CONSTANT_MILLIS);
        rateUpdatedAtMillis = nowMillis;
    }
}
