package dev.wigeonward.core.error;

import java.util.Objects;

/** An error of a request: its kind and a message for the caller. */
public record Failure(ErrorKind kind, String message) {
    public Failure {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(message, "message");
    }

    /** Returns a failure of the given kind. */
    public static Failure of(ErrorKind kind, String message) {
        return new Failure(kind, message);
    }
}
