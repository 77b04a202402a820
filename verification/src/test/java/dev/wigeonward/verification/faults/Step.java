package dev.wigeonward.verification.faults;

/** Points of a flow at which a fault is injected; each is reported before it takes effect. */
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
