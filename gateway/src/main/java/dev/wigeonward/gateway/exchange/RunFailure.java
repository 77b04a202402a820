package dev.wigeonward.gateway.exchange;

/** Why one run of a request gave no answer that can be passed on. */
enum RunFailure {
    /** No byte of the request was sent. */
    NOT_SENT,
    /** The upstream states that it did not run the request. */
    NOT_RUN,
    /** The connection or the answer broke; the request may have run. */
    BROKEN
}
