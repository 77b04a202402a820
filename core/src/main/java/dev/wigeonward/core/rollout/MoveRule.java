package dev.wigeonward.core.rollout;

import java.util.Objects;

import com.google.common.base.Preconditions;

/**
 * An operator's rule that a model is to be served by a version.
 *
 * @param deadlineMillis time by which all its requests are to go to the version
 * @param askedBy who asked for it, for reports
 */
public record MoveRule(String model, String version, long deadlineMillis, String askedBy) {
    public MoveRule {
        Preconditions.checkArgument(!model.isEmpty(), "model is empty");
        Preconditions.checkArgument(!version.isEmpty(), "version is empty");
        Objects.requireNonNull(askedBy, "askedBy");
    }
}
