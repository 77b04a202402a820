package dev.wigeonward.measure.goodput;

import dev.wigeonward.core.request.RequestSpec;

/**
 * A request of the workload.
 *
 * @param outputTokens tokens that it really generates; the estimate in the specification differs from it
 */
record Job(RequestSpec request, long arrivalMillis, int entry, int outputTokens) {}
