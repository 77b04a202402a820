package dev.wigeonward.core.admission;

import java.util.Comparator;

import dev.wigeonward.core.request.RequestSpec;

/**
 * Request in a {@link FairShareQueue}.
 *
 * @param serviceMillis expected time to serve the request, in milliseconds
 * @param latestStartMillis time after which the request cannot meet its deadline if it has not started
 * @param sequence position in order of arrival; lower than all others for a request that was put back
 * @param isShort whether the request may be served out of order by {@link FairShareQueue#pollShort}
 */
record QueuedRequest(RequestSpec request, long serviceMillis, long latestStartMillis, long sequence, boolean isShort) {
    static final Comparator<QueuedRequest> BY_LATEST_START =
            Comparator.comparingLong(QueuedRequest::latestStartMillis).thenComparingLong(QueuedRequest::sequence);
}
