package dev.wigeonward.core.order;

/** The result of an order at an agent. */
public sealed interface OrderResult {
    /** The order was submitted to the engine and is in progress. */
    record Started() implements OrderResult {}

    /** The engine completed the order. */
    record Done() implements OrderResult {}

    /** The engine reported an error while carrying out the order. */
    record Failed(String reason) implements OrderResult {}

    /** The order was not submitted to the engine; includes the highest fencing number known to the agent. */
    record Refused(String reason, long highestFencingNumber) implements OrderResult {}
}
