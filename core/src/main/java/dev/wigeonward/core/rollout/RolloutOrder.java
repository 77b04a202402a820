package dev.wigeonward.core.rollout;

import com.google.common.base.Preconditions;

/**
 * An operator's order to move the traffic of a service to upstreams of another version, which run beside the old ones.
 *
 * @param targetVersion version that is to get all requests
 * @param startMillis time at which this process first read the order
 * @param deadlineMillis time by which the rollout must have completed or been reverted
 * @param revision store revision at which the order was written
 */
public record RolloutOrder(String service, String targetVersion, long startMillis, long deadlineMillis, long revision) {
    public RolloutOrder {
        Preconditions.checkArgument(!service.isEmpty(), "service must not be empty");
        Preconditions.checkArgument(
                !targetVersion.isEmpty(), "target version of service %s must not be empty", service);
        Preconditions.checkArgument(
                deadlineMillis > startMillis,
                "deadlineMillis of service %s must be after startMillis %s, but is %s",
                service,
                startMillis,
                deadlineMillis);
    }
}
