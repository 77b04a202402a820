package dev.wigeonward.common.store;

import com.fasterxml.jackson.databind.JsonNode;

/** What became of one HTTP call. */
sealed interface CallResult {
    /** Answered with status 200. */
    record Answered(JsonNode body) implements CallResult {}

    /** Answered with an error; the code is gRPC's. */
    record Refused(int code, String message) implements CallResult {}

    /** Never written to a connection. */
    record NotSent(String reason) implements CallResult {}

    /** Possibly received by the service, and not answered. */
    record Unanswered(String reason) implements CallResult {}

    /** Over the own budget. */
    record OverBudget(String reason) implements CallResult {}
}
