package dev.wigeonward.gateway.port;

import java.util.OptionalLong;
import java.util.function.Consumer;

import dev.wigeonward.core.rollout.ShiftOrder;
import dev.wigeonward.core.rollout.ShiftState;

/** What the controller of shifts needs from the store. All methods run on the event loop. */
public interface ControllerStore {
    /** Tells whether this entry wants to control shifts; it tries to get the lease, or gives it back. */
    void seek(boolean wanted);

    /** Returns the number of this entry's lease, which grows with each holder, while it is certain to hold it. */
    OptionalLong fencingNumber();

    /**
     * Writes where a shift stands, if this entry still holds the lease.
     *
     * @param done receives whether it was written; after false it may have been
     */
    void write(ShiftOrder order, ShiftState state, Consumer<Boolean> done);
}
