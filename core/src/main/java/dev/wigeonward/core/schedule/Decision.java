package dev.wigeonward.core.schedule;

/** What becomes of a request now. */
public sealed interface Decision {
    /** The request is sent to an upstream. */
    record Place(Demand demand, Upstream upstream) implements Decision {}

    /** The request is refused; nothing has run. */
    record Refuse(Demand demand, RefusalReason reason) implements Decision {}
}
