package dev.wigeonward.core.rollout;

import java.util.Objects;

/** A verdict that a version is bad, with its reason. A verdict is permanent. */
public record BadVerdict(ModelVersion version, String reason) {
    public BadVerdict {
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(reason, "reason");
    }
}
