package dev.wigeonward.entry.caller;

import java.util.Map;

import dev.wigeonward.core.error.Failure;

/** The JSON body of error answers to callers. */
public final class ErrorBody {
    private ErrorBody() {}

    /** Returns the body for a failure, as nested maps for the JSON writer. */
    public static Map<String, Map<String, Object>> of(Failure failure) {
        return Map.of(
                "error",
                Map.of(
                        "kind", failure.kind().wireName(),
                        "message", failure.message(),
                        "run_state", failure.kind().runState().wireName(),
                        "retryable", failure.kind().retryable()));
    }
}
