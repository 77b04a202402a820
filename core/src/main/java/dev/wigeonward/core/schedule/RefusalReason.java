package dev.wigeonward.core.schedule;

/** Reason for refusing a request before it is sent to an upstream. */
public enum RefusalReason {
    /** The service has no upstream that accepts new requests. */
    NO_UPSTREAM,
    /** The requests ahead in the queue are expected to take longer than the request may wait. */
    QUEUE_TOO_LONG,
    /** All upstreams that may serve the request asked for more time than it may wait. */
    UPSTREAMS_ASKED_FOR_TIME,
    /** The request reached its maximum wait. */
    WAITED_TOO_LONG,
    /** No version of the upstreams may run the request, because of the parts of its prompt. */
    SUSPECT_PART
}
