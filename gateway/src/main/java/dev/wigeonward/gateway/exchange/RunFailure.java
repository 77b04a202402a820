package dev.wigeonward.gateway.exchange;

/** Reason why a run of a request gave no answer that can be forwarded. */
enum RunFailure {
    /** No byte of the request was sent. */
    NOT_SENT,
    /** The upstream states that it did not run the request. */
    NOT_RUN,
    /** The connection broke or the answer was unusable; the request may have run. */
    BROKEN
}
