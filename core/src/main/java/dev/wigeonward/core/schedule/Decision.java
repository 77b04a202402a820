package dev.wigeonward.core.schedule;

/** The decision of the scheduler on one request: place it on an upstream or refuse it. */
public sealed interface Decision {
    /** A placement: the request is to be sent to the given upstream. */
    record Placed(ScheduledRequest request, Upstream upstream) implements Decision {}

    /**
     * A refusal: the request has not been sent to any upstream.
     *
     * @param returnAfterMillis time after which the caller should come back, or 0 if the scheduler does not plan it
     */
    record Refused(ScheduledRequest request, RefusalReason reason, long returnAfterMillis) implements Decision {}
}
