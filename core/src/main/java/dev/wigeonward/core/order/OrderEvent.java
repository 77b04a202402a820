package dev.wigeonward.core.order;

import com.google.common.base.Preconditions;

/** What the agent's order gate reacts to. */
public sealed interface OrderEvent {
    /** An order arrived on a link. */
    record OrderReceived(Order order) implements OrderEvent {}

    /** A peer reported the fencing number of the controller that it knows. */
    record FencingSeen(long fencingNumber) implements OrderEvent {}

    /** The store answered with the creation revision of the controller key; 0 if the key does not exist. */
    record FencingRead(long fencingNumber) implements OrderEvent {
        public FencingRead {
            Preconditions.checkArgument(fencingNumber >= 0, "fencingNumber is %s", fencingNumber);
        }
    }

    /** The store did not answer the read. */
    record StoreUnavailable() implements OrderEvent {}

    /** The engine finished an order, with an empty reason if it succeeded. */
    record EngineFinished(String orderId, String failureReason) implements OrderEvent {}
}
