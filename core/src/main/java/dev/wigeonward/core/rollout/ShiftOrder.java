package dev.wigeonward.core.rollout;

import com.google.common.base.Preconditions;

/**
 * An operator's order to move the traffic of a service to upstreams of another version, which run beside the old ones.
 *
 * @param target version that is to get all requests
 * @param startMillis time at which this process learned of it
 * @param deadlineMillis time by which the move is to have ended, one way or the other
 * @param revision revision of the store at which the order was given
 */
public record ShiftOrder(String service, String target, long startMillis, long deadlineMillis, long revision) {
    public ShiftOrder {
        Preconditions.checkArgument(!service.isEmpty(), "service is empty");
        Preconditions.checkArgument(!target.isEmpty(), "target of %s is empty", service);
        Preconditions.checkArgument(
                deadlineMillis > startMillis, "deadline %s is not after start %s", deadlineMillis, startMillis);
    }
}
