package dev.wigeonward.core.rollout;

import java.util.Objects;

/** The fact that a version is bad; it is never withdrawn. */
public record BadVerdict(ModelVersion version, String reason) {
    public BadVerdict {
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(reason, "reason");
    }
}
