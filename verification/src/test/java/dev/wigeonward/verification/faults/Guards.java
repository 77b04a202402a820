package dev.wigeonward.verification.faults;

/** Guards of the fakes and policies that a mutation test switches off. */
enum Guards {
    /** Everything as in production. */
    ALL,
    /** The agent's adapter hands a request over again when its dispatch arrives again. */
    NO_SINGLE_SUBMIT,
    /** The agent's queue refuses whoever comes when it is full. */
    QUEUE_WITHOUT_TIERS,
    /** The agent sends the output of another run. */
    FOREIGN_OUTPUT,
    /** The agent answers a failed run as not run. */
    FALSE_NOT_RUN,
    /** The store writes claims without comparing what is there. */
    STORE_WITHOUT_COMPARE,
    /** The agent has lost its memory but not its incarnation. */
    RESTART_KEEPS_INCARNATION,
    /** The agent leaves without a notice and goes on to accept requests. */
    SILENT_DEPARTURE,
    /** The process ends when it is told to, without waiting for its requests. */
    HASTY_SHUTDOWN
}
