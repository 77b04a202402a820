package dev.wigeonward.core.order;

/** What the agent's order gate asks its adapters to do. */
public sealed interface OrderEffect {
    /** Read the creation revision of the controller key from the store. */
    record ReadFencingNumber() implements OrderEffect {}

    /** Hand the order to the engine. */
    record RunOrder(Order order) implements OrderEffect {}

    /** Tell the sender of an order what became of it. */
    record Answer(String orderId, OrderResult result) implements OrderEffect {}
}
