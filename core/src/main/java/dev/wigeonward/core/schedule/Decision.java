package dev.wigeonward.core.schedule;

/** The decision of the scheduler on one request: place it on an upstream or refuse it. */
public sealed interface Decision {
    /** A placement: the request is to be sent to the given upstream. */
    record Placed(ScheduledRequest request, Upstream upstream) implements Decision {}

    /** A refusal: the request has not been sent to any upstream. */
    record Refused(ScheduledRequest request, RefusalReason reason) implements Decision {}
}
