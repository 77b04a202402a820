package dev.wigeonward.verification.faults;

/** Step of a flow at which a fault can be injected, before the step takes effect. */
enum Step {
    ARRIVED,
    CLAIM_SENT,
    CLAIM_APPLIED,
    CLAIM_ANSWERED,
    DISPATCH_SENT,
    DISPATCH_ARRIVED,
    SUBMITTED,
    OUTPUT_SENT,
    OUTPUT_ARRIVED,
    FINISHED_SENT,
    FINISHED_ARRIVED,
    ACKNOWLEDGED,
    OUTCOME_RECORDED,
    DRAIN_STARTED
}
