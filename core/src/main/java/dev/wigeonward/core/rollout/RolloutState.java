package dev.wigeonward.core.rollout;

/** State of a service rollout. */
public enum RolloutState {
    IN_PROGRESS,
    /** All requests go to the new version, and the old one has none left or its time to finish them is over. */
    COMPLETED,
    /** The new version is bad and gets no requests. */
    REVERTED
}
