package dev.wigeonward.entry.command;

/** A command line that cannot be used; the message tells the operator why. */
final class UsageException extends RuntimeException {
    UsageException(String message) {
        super(message);
    }

    UsageException(String message, Throwable cause) {
        super(message, cause);
    }
}
