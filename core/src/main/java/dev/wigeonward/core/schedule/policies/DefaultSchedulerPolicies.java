package dev.wigeonward.core.schedule.policies;

import dev.wigeonward.core.schedule.PacePolicy;
import dev.wigeonward.core.schedule.RetryTimePolicy;
import dev.wigeonward.core.schedule.SchedulerPolicies;
import dev.wigeonward.core.schedule.SlotAccess;
import dev.wigeonward.core.schedule.choice.LowestCostChoice;
import dev.wigeonward.core.schedule.order.KindOrder;
import dev.wigeonward.core.schedule.refusal.HalfObjectiveRefusal;

/** Factory of the policies that are in use unless a setting calls for others. */
public final class DefaultSchedulerPolicies {
    private DefaultSchedulerPolicies() {}

    /** Returns new policies for an entry in the given zone. */
    public static SchedulerPolicies create(String zone, SlotAccess slotAccess, RetryTimePolicy retryTime) {
        return new SchedulerPolicies(
                KindOrder.create(),
                HalfObjectiveRefusal.create(),
                LowestCostChoice.inZone(zone),
                PacePolicy.SLOTS,
                slotAccess,
                retryTime);
    }

    /** Returns new policies for an entry in the given zone that has no peers; callers may come back at once. */
    public static SchedulerPolicies alone(String zone) {
        return create(zone, SlotAccess.OPEN, remainingMillis -> 1);
    }
}
