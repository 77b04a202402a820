package dev.wigeonward.common.store;

import com.fasterxml.jackson.databind.JsonNode;

/** Result of one HTTP call to the key-value service. */
sealed interface CallResult {
    /** The service answered with status 200. */
    record Answered(JsonNode body) implements CallResult {}

    /** The service answered with an error; {@code code} is a gRPC status code, or -1 if the answer has none. */
    record Refused(int code, String message) implements CallResult {}

    /** The request was never written to a connection. */
    record NotSent(String reason) implements CallResult {}

    /** The request may have been received by the service, and no answer came. */
    record Unanswered(String reason) implements CallResult {}

    /** The request was not sent, as it would have exceeded the call budget of this process. */
    record OverBudget(String reason) implements CallResult {}
}
