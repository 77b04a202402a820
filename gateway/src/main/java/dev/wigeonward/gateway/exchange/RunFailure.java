package dev.wigeonward.gateway.exchange;

/** Reason why a run of a request gave no answer that can be forwarded. */
enum RunFailure {
    /** No byte of the request was sent. */
    NOT_SENT,
    /** The upstream states that it did not run the request because it is full. */
    FULL,
    /** The upstream states that it did not run the request for another reason. */
    NOT_RUN,
    /** The connection broke or the answer was unusable; the request may have run. */
    BROKEN
}
