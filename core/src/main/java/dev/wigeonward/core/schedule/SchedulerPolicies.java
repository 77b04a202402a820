package dev.wigeonward.core.schedule;

import com.google.common.base.Preconditions;

/**
 * Policies of the scheduler of one service. All but {@code pace}, {@code slotAccess} and a {@code retryTime} that plans
 * no returns have state of the service and must not be shared by schedulers.
 *
 * @param order which request goes next
 * @param refusal whether a waiting request is refused now
 * @param choice which upstream a request gets
 * @param pace how many requests of this entry an upstream may have
 * @param slotAccess whether this entry may take a slot that looks free
 * @param retryTime when a refused caller should come back
 */
public record SchedulerPolicies(
        WaitingOrder order,
        RefusalPolicy refusal,
        UpstreamChoice choice,
        PacePolicy pace,
        SlotAccess slotAccess,
        RetryTimePolicy retryTime) {
    public SchedulerPolicies {
        Preconditions.checkNotNull(order, "order");
        Preconditions.checkNotNull(refusal, "refusal");
        Preconditions.checkNotNull(choice, "choice");
        Preconditions.checkNotNull(pace, "pace");
        Preconditions.checkNotNull(slotAccess, "slotAccess");
        Preconditions.checkNotNull(retryTime, "retryTime");
    }

    /** Returns these policies with another order. */
    public SchedulerPolicies withOrder(WaitingOrder other) {
        return new SchedulerPolicies(other, refusal, choice, pace, slotAccess, retryTime);
    }

    /** Returns these policies with another refusal policy. */
    public SchedulerPolicies withRefusal(RefusalPolicy other) {
        return new SchedulerPolicies(order, other, choice, pace, slotAccess, retryTime);
    }

    /** Returns these policies with another choice of upstreams. */
    public SchedulerPolicies withChoice(UpstreamChoice other) {
        return new SchedulerPolicies(order, refusal, other, pace, slotAccess, retryTime);
    }

    /** Returns these policies with another pace. */
    public SchedulerPolicies withPace(PacePolicy other) {
        return new SchedulerPolicies(order, refusal, choice, other, slotAccess, retryTime);
    }

    /** Returns these policies with another slot access. */
    public SchedulerPolicies withSlotAccess(SlotAccess other) {
        return new SchedulerPolicies(order, refusal, choice, pace, other, retryTime);
    }

    /** Returns these policies with another retry time. */
    public SchedulerPolicies withRetryTime(RetryTimePolicy other) {
        return new SchedulerPolicies(order, refusal, choice, pace, slotAccess, other);
    }
}
