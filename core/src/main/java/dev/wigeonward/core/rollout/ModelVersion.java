package dev.wigeonward.core.rollout;

import com.google.common.base.Preconditions;

/** A version of a model or plain service. */
public record ModelVersion(String model, String version) {
    public ModelVersion {
        Preconditions.checkArgument(!model.isEmpty(), "model must not be empty");
        Preconditions.checkArgument(!version.isEmpty(), "version of model %s must not be empty", model);
    }
}
