package dev.wigeonward.core.rollout;

/**
 * A constraint on the version that may serve a request.
 *
 * @param version the constrained version, or empty if there is no constraint
 * @param kind how the version is constrained
 */
public record VersionConstraint(String version, Kind kind) {
    /** The absence of a constraint. */
    public static final VersionConstraint NONE = new VersionConstraint("", Kind.FREE);

    /** How a version is constrained. */
    public enum Kind {
        FREE,
        /** The request goes to the version if an upstream of it is listed. */
        PREFERRED,
        /** The request goes to another version if an upstream of one is listed. */
        AVOIDED,
        /** The request never goes to the version. */
        FORBIDDEN
    }

    /** Returns whether upstreams of the given version are the first choice. */
    public boolean isFirstChoice(String other) {
        return switch (kind) {
            case FREE -> true;
            case PREFERRED -> other.equals(version);
            case AVOIDED, FORBIDDEN -> !other.equals(version);
        };
    }

    /** Returns whether an upstream of the given version may be used if there is no upstream of first choice. */
    public boolean allows(String other) {
        return kind != Kind.FORBIDDEN || !other.equals(version);
    }
}
