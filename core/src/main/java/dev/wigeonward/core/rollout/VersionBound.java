package dev.wigeonward.core.rollout;

/**
 * Which versions may serve a request.
 *
 * @param version the version that this is about; empty for no bound
 * @param kind what holds for it
 */
public record VersionBound(String version, Kind kind) {
    /** No bound. */
    public static final VersionBound NONE = new VersionBound("", Kind.FREE);

    /** What holds for the version. */
    public enum Kind {
        FREE,
        /** The request goes there, as long as an upstream of it is listed. */
        PREFERRED,
        /** The request goes elsewhere, as long as an upstream of another version is listed. */
        AVOIDED,
        /** The request never goes there. */
        FORBIDDEN
    }

    /** Returns whether an upstream of the given version suits, where others might be taken if none does. */
    public boolean suits(String other) {
        return switch (kind) {
            case FREE -> true;
            case PREFERRED -> other.equals(version);
            case AVOIDED, FORBIDDEN -> !other.equals(version);
        };
    }

    /** Returns whether an upstream of the given version may be taken where none suits. */
    public boolean allows(String other) {
        return kind != Kind.FORBIDDEN || !other.equals(version);
    }
}
