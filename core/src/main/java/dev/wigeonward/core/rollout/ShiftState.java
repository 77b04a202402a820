package dev.wigeonward.core.rollout;

/** Where a shift of traffic stands. */
public enum ShiftState {
    IN_PROGRESS,
    /** All requests go to the new version, and none is left at the old one. */
    COMPLETED,
    /** The new version is bad and gets nothing. */
    REVERTED
}
