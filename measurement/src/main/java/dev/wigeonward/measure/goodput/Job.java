package dev.wigeonward.measure.goodput;

import dev.wigeonward.core.request.RequestSpec;

/**
 * A request of the workload.
 *
 * @param entry index of the entry at which the request arrives
 * @param outputTokens number of tokens that the request generates; the estimate in its specification differs
 */
record Job(RequestSpec request, long arrivalMillis, int entry, int outputTokens) {}
