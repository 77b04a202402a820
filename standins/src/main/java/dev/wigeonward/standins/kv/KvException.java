package dev.wigeonward.standins.kv;

/** Error answer of the key-value service; the call had no effect. */
final class KvException extends RuntimeException {
    static final int INVALID_ARGUMENT = 3;
    static final int NOT_FOUND = 5;
    static final int RESOURCE_EXHAUSTED = 8;
    static final int FAILED_PRECONDITION = 9;
    static final int UNAVAILABLE = 14;

    private final int code;

    KvException(int code, String message) {
        super(message, null, false, false);
        this.code = code;
    }

    int code() {
        return code;
    }

    /** Returns the HTTP status for the code. */
    int httpStatus() {
        return switch (code) {
            case NOT_FOUND -> 404;
            case RESOURCE_EXHAUSTED -> 429;
            case UNAVAILABLE -> 503;
            default -> 400;
        };
    }
}
