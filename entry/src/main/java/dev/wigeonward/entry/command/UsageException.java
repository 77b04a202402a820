package dev.wigeonward.entry.command;

/** Thrown for an invalid command line; the message is shown to the operator. */
final class UsageException extends RuntimeException {
    UsageException(String message) {
        super(message);
    }

    UsageException(String message, Throwable cause) {
        super(message, cause);
    }
}
