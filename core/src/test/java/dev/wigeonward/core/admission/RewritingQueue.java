package dev.wigeonward.core.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;

import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;

/** Deliberately faulty queue that decides on rewritten requests and returns the original ones. */
record RewritingQueue(AdmissionQueue queue, UnaryOperator<RequestSpec> rewrite, Map<RequestId, RequestSpec> originals)
        implements AdmissionQueue {
    /** Returns a queue that treats all requests as of one tier. */
    static AdmissionQueue ignoringTiers(AdmissionQueue queue) {
        return new RewritingQueue(
                queue,
                request -> QueueRequests.rewritten(request, Tier.STANDARD, request.workspace()),
                new HashMap<>());
    }

    /** Returns a queue that treats all requests as of one workspace. */
    static AdmissionQueue ignoringWorkspaces(AdmissionQueue queue) {
        return new RewritingQueue(
                queue, request -> QueueRequests.rewritten(request, request.tier(), "any"), new HashMap<>());
    }

    @Override
    public AdmissionResult offer(RequestSpec request, long serviceMillis, long nowMillis) {
        originals.put(request.id(), request);
        AdmissionResult result = queue.offer(rewrite.apply(request), serviceMillis, nowMillis);
        return result instanceof AdmissionResult.Queued queued
                ? new AdmissionResult.Queued(restore(queued.displaced()))
                : result;
    }

    @Override
    public Optional<RequestSpec> poll(long nowMillis) {
        return queue.poll(nowMillis).map(request -> originals.get(request.id()));
    }

    @Override
    public void putBack(RequestSpec request, long serviceMillis) {
        queue.putBack(rewrite.apply(request), serviceMillis);
    }

    @Override
    public List<RequestSpec> removeExpired(long nowMillis) {
        return restore(queue.removeExpired(nowMillis));
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

    private List<RequestSpec> restore(List<RequestSpec> requests) {
        return requests.stream().map(request -> originals.get(request.id())).toList();
    }
}
