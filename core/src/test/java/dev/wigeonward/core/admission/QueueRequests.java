package dev.wigeonward.core.admission;

import java.util.Optional;

import dev.wigeonward.core.request.EngineSpeed;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;
import dev.wigeonward.core.request.WorkEstimate;

/** Factory methods for requests in queue tests; the service time at {@link #SPEED} is passed in milliseconds. */
public final class QueueRequests {
    /** One output token takes one millisecond. */
    public static final EngineSpeed SPEED = new EngineSpeed(1_000, 1_000);

    public static final long FAR_DEADLINE_MILLIS = 1_000_000_000;

    private static long sequence;

    private QueueRequests() {}

    public static RequestSpec request(Tier tier, String workspace, int serviceMillis) {
        return request(tier, workspace, serviceMillis, FAR_DEADLINE_MILLIS);
    }

    public static RequestSpec request(Tier tier, String workspace, int serviceMillis, long deadlineMillis) {
        return of(RequestId.of("test", 1, sequence++), tier, workspace, serviceMillis, deadlineMillis);
    }

    /** Returns the request with another tier and workspace and the same id, for deliberately faulty queues. */
    public static RequestSpec rewritten(RequestSpec request, Tier tier, String workspace) {
        return of(request.id(), tier, workspace, request.work().outputTokens(), request.deadlineMillis());
    }

    private static RequestSpec of(RequestId id, Tier tier, String workspace, int serviceMillis, long deadlineMillis) {
        WorkEstimate work = new WorkEstimate(0, serviceMillis, 0);
        return new RequestSpec(id, Optional.empty(), tier, workspace, "model", "route", work, deadlineMillis, true, 0);
    }
}
