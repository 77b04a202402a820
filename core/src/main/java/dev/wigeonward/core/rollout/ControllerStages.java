package dev.wigeonward.core.rollout;

import java.util.List;

/**
 * A publication of all stages of one controller. A newer publication replaces an older one as a whole.
 *
 * @param fencingNumber creation revision of the controller key in the store
 * @param sequence number of the publication, which increases with each publication of the same controller
 * @param stages stages in effect, at most one for each model
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
