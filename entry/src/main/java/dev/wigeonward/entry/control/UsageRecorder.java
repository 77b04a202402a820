package dev.wigeonward.entry.control;

import dev.wigeonward.core.request.RequestSpec;

/** Receives the token usage of complete answers. */
@FunctionalInterface
public interface UsageRecorder {
    /** Adds the tokens of a complete answer. */
    void record(RequestSpec request, long promptTokens, long outputTokens);
}
