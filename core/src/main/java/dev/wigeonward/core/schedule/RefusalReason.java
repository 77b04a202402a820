package dev.wigeonward.core.schedule;

/** Why a request is refused before it is sent to an upstream. */
public enum RefusalReason {
    /** No upstream of the service is known. */
    NO_UPSTREAM,
    /** The requests that go first fill the upstreams for longer than the request may wait. */
    QUEUE_TOO_LONG,
    /** The request has waited as long as it may. */
    WAITED_TOO_LONG
}
