package dev.wigeonward.core.admission;

import java.util.List;
import java.util.Optional;

import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;

/**
 * Admission queue with strict priority between tiers, start-time fair queueing over the workspaces within a tier, and
 * displacement when full. {@link #poll} never returns a request whose deadline has passed.
 */
public final class FairShareAdmissionQueue implements AdmissionQueue {
    private final FairShareQueue queue;

    private FairShareAdmissionQueue(FairShareQueue queue) {
        this.queue = queue;
    }

    /** Returns an empty queue for at most {@code capacity} requests. */
    public static FairShareAdmissionQueue create(int capacity, WorkspaceWeights weights) {
        return new FairShareAdmissionQueue(FairShareQueue.create(capacity, 0, weights));
    }

    @Override
    public AdmissionResult offer(RequestSpec request, long serviceMillis, long nowMillis) {
        return queue.offer(request, serviceMillis, latestStartMillis(request), nowMillis);
    }

    @Override
    public Optional<RequestSpec> poll(long nowMillis) {
        return queue.poll(nowMillis);
    }

    @Override
    public void putBack(RequestSpec request, long serviceMillis) {
        queue.putBack(request, serviceMillis, latestStartMillis(request));
    }

    @Override
    public List<RequestSpec> removeExpired(long nowMillis) {
        return queue.removeExpired(nowMillis);
    }

    @Override
    public boolean remove(RequestId id) {
        return queue.remove(id);
    }

    @Override
    public long backlogMillis(Tier lowest) {
        return queue.backlogMillis(lowest);
    }

    @Override
    public int size() {
        return queue.size();
    }

    /**
     * Returns the last time before the deadline. The upstream and its speed are not known yet, so only a request whose
     * deadline has passed is certain to be late.
     */
    private static long latestStartMillis(RequestSpec request) {
        return request.deadlineMillis() - 1;
    }
}
