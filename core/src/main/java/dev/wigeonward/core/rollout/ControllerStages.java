package dev.wigeonward.core.rollout;

import java.util.List;

/**
 * All stages of one controller at one moment; a later publication replaces an earlier one as a whole.
 *
 * @param fencingNumber creation revision of the controller key
 * @param sequence grows with each publication of the same controller
 * @param stages at most one for each model
 */
public record ControllerStages(long fencingNumber, long sequence, List<Stage> stages) {
    public ControllerStages {
        stages = List.copyOf(stages);
    }

    /** Returns whether this publication replaces the other. */
    public boolean isNewerThan(ControllerStages other) {
        return fencingNumber > other.fencingNumber || fencingNumber == other.fencingNumber && sequence > other.sequence;
    }
}
