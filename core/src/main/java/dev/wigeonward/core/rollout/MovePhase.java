package dev.wigeonward.core.rollout;

/** Where a move stands. */
public enum MovePhase {
    /** Written down; nothing is ordered yet. */
    PLANNED,
    /** Waits for its turn to load weights, or loads them; the new version gets no requests. */
    LOADING,
    /** The new version gets the smallest share until its first verdict. */
    CANARY,
    /** The share grows with the evidence. */
    GROWING,
    /** The new version gets all requests, and the old one stays loaded. */
    WATCHING,
    /** The new version is judged good, and the old one is unloaded. */
    DONE,
    /** The new version gets nothing and is being unloaded. */
    ROLLING_BACK,
    /** The old version serves the model again. */
    ROLLED_BACK;

    /** Returns whether the new version may still win. */
    public boolean isAdvancing() {
        return ordinal() <= WATCHING.ordinal();
    }

    /** Returns whether nothing but unloading is left to do. */
    public boolean isOver() {
        return this == DONE || this == ROLLED_BACK;
    }
}
