package dev.wigeonward.core.rollout;

/** Phase of a rollout. */
public enum RolloutPhase {
    /** The rollout is recorded, and no order is recorded yet. */
    PLANNED,
    /** The new version waits for its turn to be loaded or is being loaded, and gets no requests. */
    LOADING,
    /** The new version gets the canary share until its first verdict. */
    CANARY,
    /** The share of the new version grows as its tests pass. */
    GROWING,
    /** The new version gets all requests, and the old one stays loaded for a rollback. */
    WATCHING,
    /** The verdict on the new version is good, and the old one is unloaded. */
    DONE,
    /** The new version gets no requests and is being unloaded. */
    ROLLING_BACK,
    /** The old version serves the model again. */
    ROLLED_BACK;

    /** Returns whether the rollout may still lead to the new version. */
    public boolean isAdvancing() {
        return ordinal() <= WATCHING.ordinal();
    }

    /** Returns whether the rollout has ended, except for unloading and reloading versions. */
    public boolean isOver() {
        return this == DONE || this == ROLLED_BACK;
    }
}
