package dev.wigeonward.core.order;

/** An action that {@link OrderFence} requests from its adapters. */
public sealed interface OrderEffect {
    /** Reads the creation revision of the controller key from the store. */
    record ReadFencingNumber() implements OrderEffect {}

    /** Submits the order to the engine. */
    record RunOrder(Order order) implements OrderEffect {}

    /** Sends the result of an order to its sender. */
    record Answer(String orderId, OrderResult result) implements OrderEffect {}
}
