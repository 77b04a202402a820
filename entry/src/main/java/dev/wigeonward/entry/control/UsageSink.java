package dev.wigeonward.entry.control;

import dev.wigeonward.core.request.RequestSpec;

/** Hears what answers cost. */
@FunctionalInterface
public interface UsageSink {
    /** Counts the tokens of a complete answer. */
    void record(RequestSpec request, long promptTokens, long outputTokens);
}
