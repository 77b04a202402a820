package dev.wigeonward.gateway.port;

import java.util.OptionalLong;
import java.util.function.Consumer;

import dev.wigeonward.core.rollout.RolloutOrder;
import dev.wigeonward.core.rollout.RolloutState;

/** Store operations of the rollout controller. All methods run on the event loop. */
public interface ControllerStore {
    /**
     * Starts acquiring the controller's lease and keeping it, or ends it, according to whether this entry wants to
     * control rollouts.
     */
    void setLeaseWanted(boolean wanted);

    /**
     * Returns the fencing number of this entry's lease, which increases with each holder, or empty unless this entry is
     * certain to hold the lease.
     */
    OptionalLong fencingNumber();

    /**
     * Writes the state of a rollout if this entry still holds the lease.
     *
     * @param done receives true if the state was written; after false it may have been written nevertheless
     */
    void write(RolloutOrder order, RolloutState state, Consumer<Boolean> done);
}
