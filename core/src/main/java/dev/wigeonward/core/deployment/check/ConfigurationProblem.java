package dev.wigeonward.core.deployment.check;

import java.util.Objects;

/**
 * Problem of a configuration.
 *
 * @param place route, workspace or limits that the problem is about
 */
public record ConfigurationProblem(Severity severity, String place, String message) {
    public ConfigurationProblem {
        Objects.requireNonNull(severity, "severity");
        Objects.requireNonNull(place, "place");
        Objects.requireNonNull(message, "message");
    }

    /** How bad a problem is. */
    public enum Severity {
        /** The configuration works, but part of it has no effect or contradicts another part. */
        WARNING,
        /** The configuration is not put in force, or some requests can never be served. */
        ERROR
    }

    /** Returns a problem of severity {@link Severity#ERROR}. */
    public static ConfigurationProblem error(String place, String message) {
        return new ConfigurationProblem(Severity.ERROR, place, message);
    }

    /** Returns a problem of severity {@link Severity#WARNING}. */
    public static ConfigurationProblem warning(String place, String message) {
        return new ConfigurationProblem(Severity.WARNING, place, message);
    }

    /** Returns {@code error: place: message}, or the same with the other severity. */
    @Override
    public String toString() {
        return (severity == Severity.ERROR ? "error: " : "warning: ") + place + ": " + message;
    }
}
