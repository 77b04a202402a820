package dev.wigeonward.verification.faults;

/** Defect that a mutation test introduces into a fake or a policy. */
enum Mutation {
    /** No defect. */
    NONE,
    /** The agent submits a request to its upstream again when the dispatch is delivered a second time. */
    NO_SINGLE_SUBMIT,
    /** A full agent queue refuses each new request, whatever its tier. */
    QUEUE_WITHOUT_TIERS,
    /** The agent sends output that differs from the output of the run. */
    FOREIGN_OUTPUT,
    /** The agent reports a failed run as not run. */
    FALSE_NOT_RUN,
    /** The store writes claims without comparing the current value. */
    STORE_WITHOUT_COMPARE,
    /** A restarted agent has empty memory but keeps its incarnation number. */
    RESTART_KEEPS_INCARNATION,
    /** The agent sends no notice before it leaves and keeps accepting requests. */
    SILENT_DEPARTURE,
    /** The process ends its graceful shutdown without waiting for its requests. */
    HASTY_SHUTDOWN
}
