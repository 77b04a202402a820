package dev.wigeonward.core.order;

/** What became of an order at an agent. */
public sealed interface OrderResult {
    /** The engine received the order and works on it. */
    record Started() implements OrderResult {}

    /** The engine carried the order out. */
    record Done() implements OrderResult {}

    /** The engine tried and reported an error. */
    record Failed(String reason) implements OrderResult {}

    /** The order was not handed to the engine; the highest fencing number known to the agent comes with it. */
    record Refused(String reason, long highestFencingNumber) implements OrderResult {}
}
