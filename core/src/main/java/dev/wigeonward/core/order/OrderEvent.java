package dev.wigeonward.core.order;

import com.google.common.base.Preconditions;

/** An input of {@link OrderFence}. */
public sealed interface OrderEvent {
    /** An order arrived on a link. */
    record OrderReceived(Order order) implements OrderEvent {}

    /** A peer reported the fencing number of the controller known to it. */
    record FencingNumberReported(long fencingNumber) implements OrderEvent {}

    /** The store returned the creation revision of the controller key; 0 if the key does not exist. */
    record FencingNumberRead(long fencingNumber) implements OrderEvent {
        public FencingNumberRead {
            Preconditions.checkArgument(
                    fencingNumber >= 0, "fencingNumber must not be negative, but is %s", fencingNumber);
        }
    }

    /** The store did not answer the read of the controller key. */
    record StoreUnavailable() implements OrderEvent {}

    /** The engine finished an order; the failure reason is empty if the order succeeded. */
    record EngineFinished(String orderId, String failureReason) implements OrderEvent {}
}
