package dev.wigeonward.core.admission;

import java.util.Comparator;

import dev.wigeonward.core.request.RequestSpec;

/**
 * A request in a backlog.
 *
 * @param serviceMillis expected time to serve it
 * @param latestStartMillis time after which it is unreachable
 * @param sequence order of arrival; lower than all others for a request that was put back
 * @param isShort whether it may be taken out of order by {@link FairShareBacklog#pollShort}
 */
record QueuedRequest(RequestSpec request, long serviceMillis, long latestStartMillis, long sequence, boolean isShort) {
    static final Comparator<QueuedRequest> BY_LATEST_START =
            Comparator.comparingLong(QueuedRequest::latestStartMillis).thenComparingLong(QueuedRequest::sequence);
}
