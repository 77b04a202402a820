package dev.wigeonward.core.error;

/** What is known about whether a request ran at an upstream. */
public enum RunState {
    /** Provably never handed to an upstream. */
    NOT_RUN,
    /** Handed over, and nothing proves whether it ran. */
    UNKNOWN,
    /** The upstream answered. */
    ANSWERED
}
