package dev.wigeonward.core.rollout;

import com.google.common.base.Preconditions;

/** Final state of the order that a service has. */
public record FinalRolloutState(String service, String targetVersion, RolloutState state) {
    public FinalRolloutState {
        Preconditions.checkArgument(
                state != RolloutState.IN_PROGRESS, "state of service %s must be final, but is %s", service, state);
    }
}
