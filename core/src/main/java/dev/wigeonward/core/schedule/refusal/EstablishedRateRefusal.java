package dev.wigeonward.core.schedule.refusal;

import dev.wigeonward.core.schedule.RefusalPolicy;
import dev.wigeonward.core.schedule.ScheduledRequest;
import dev.wigeonward.core.schedule.SchedulingRound;

/**
 * Policy that refuses a request for its expected wait only if the rate of placements rests on enough of them and no
 * slot is free, and after half of its objective in any case. An entry that sees a few requests a second would otherwise
 * refuse requests because of noise in its rate.
 */
public final class EstablishedRateRefusal implements RefusalPolicy {
    /** Maximum wait as a fraction of the objective; the rest is left for the time to the first event. */
    private static final double MAX_WAIT_FRACTION = 0.5;
    /** Time constant of the moving count of placements, in milliseconds. */
    private static final double RATE_TIME_CONSTANT_MILLIS = 1_000;
    /** Placements in the moving count from which the rate is used; the error of a rate is about 1/sqrt(count). */
    private static final double MIN_PLACEMENTS = 20;

    private double placements;
    private long updatedAtMillis;

    private EstablishedRateRefusal() {}

    /** Returns a policy that has not seen any placement. */
    public static EstablishedRateRefusal create() {
        return new EstablishedRateRefusal();
    }

    @Override
    public long maxWaitMillis(ScheduledRequest request) {
        return (long) (MAX_WAIT_FRACTION * request.objectiveMillis());
    }

    @Override
    public boolean isQueueTooLong(ScheduledRequest request, int countAhead, SchedulingRound round) {
        if (round.freeSlotFraction() > 0 || request.isPastObjective(round.nowMillis())) {
            return false;
        }
        decay(round.nowMillis());
        if (placements < MIN_PLACEMENTS) {
            return false;
        }
        double expectedWaitMillis = countAhead * RATE_TIME_CONSTANT_MILLIS / placements;
        return expectedWaitMillis > maxWaitMillis(request);
    }

    @Override
    public void onPlaced(ScheduledRequest request, long nowMillis) {
        decay(nowMillis);
        placements++;
    }

    private void decay(long nowMillis) {
        placements *= Math.exp((updatedAtMillis - nowMillis) / RATE_TIME_CONSTANT_MILLIS);
        updatedAtMillis = nowMillis;
    }
}
