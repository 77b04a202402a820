package dev.wigeonward.gateway.exchange;

import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import dev.wigeonward.core.schedule.PacePolicy;
import dev.wigeonward.core.schedule.PersistentSlotAccess;
import dev.wigeonward.core.schedule.RetryTimePolicy;
import dev.wigeonward.core.schedule.SchedulerPolicies;
import dev.wigeonward.core.schedule.SlotAccess;
import dev.wigeonward.core.schedule.order.KindOrder;
import dev.wigeonward.core.schedule.policies.DefaultSchedulerPolicies;
import dev.wigeonward.core.schedule.refusal.EstablishedRateRefusal;
import dev.wigeonward.core.schedule.retry.PlannedReturns;
import dev.wigeonward.core.schedule.retry.SpreadRetryTime;
import dev.wigeonward.gateway.event.Telemetry;

/** Factory of the policies of the schedulers of one entry. Not thread-safe. */
final class SchedulerPoliciesFactory {
    private final RetryTimePolicy retryTime;
    private final PersistentSlotAccess slotAccess;
    private final PacePolicy pace;
    private final ShareLog shareLog;
    private final ReturnsLog returnsLog;
    private final Random random;

    private SchedulerPoliciesFactory(Random random, PacePolicy pace, ShareLog shareLog, ReturnsLog returnsLog) {
        this.random = random;
        this.pace = pace;
        this.retryTime = SpreadRetryTime.create(random);
        this.slotAccess = PersistentSlotAccess.create(random.nextLong());
        this.shareLog = shareLog;
        this.returnsLog = returnsLog;
    }

    /** Returns a factory whose policies take their random numbers from the given generator. */
    static SchedulerPoliciesFactory create(
            Random random, PacePolicy pace, Telemetry telemetry, LongSupplier nowMillis) {
        return new SchedulerPoliciesFactory(
                random, pace, new ShareLog(telemetry, nowMillis), new ReturnsLog(telemetry, nowMillis));
    }

    /**
     * Returns the policies of the scheduler of one more service.
     *
     * @param takesAnySlot whether this entry may take each slot that looks free, because it decides for its peers
     */
    SchedulerPolicies createPolicies(PathSettings settings, BooleanSupplier takesAnySlot) {
        SlotAccess access = (upstreamId, freeSlots, nowMillis) ->
                takesAnySlot.getAsBoolean() || slotAccess.mayTake(upstreamId, freeSlots, nowMillis);
        SchedulerPolicies policies = DefaultSchedulerPolicies.create(settings.zone(), access, retryTime)
                .withPace(pace);
        if (settings.scheduling().plannedReturns()) {
            policies = policies.withRefusal(EstablishedRateRefusal.create())
                    .withRetryTime(PlannedReturns.create(random, retryTime, returnsLog));
        }
        return settings.scheduling().workspaceShares()
                ? policies.withOrder(KindOrder.withShares(shareLog::onLimited))
                : policies;
    }

    /** Returns the policy that states when refused callers should come back. */
    RetryTimePolicy retryTime() {
        return retryTime;
    }

    /** Sets the number of entries with a current state, including this one. */
    void setEntries(int entries) {
        slotAccess.setEntries(entries);
    }
}
