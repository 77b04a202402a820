package dev.wigeonward.core.engine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import dev.wigeonward.core.admission.AdmissionResult;
import dev.wigeonward.core.admission.FairShareQueue;
import dev.wigeonward.core.admission.WorkspaceWeights;
import dev.wigeonward.core.request.EngineSpeed;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;

/**
 * Queue that submits requests to an engine in order of tier and fair share, limited by slots and by estimated work.
 * Some slots are reserved for short requests, so that a short request waits at most for other short ones. A request
 * that cannot be answered before its deadline is never submitted.
 */
public final class PriorityEngineQueue implements EngineQueue {
    private final EngineLimits limits;
    private final EngineSpeed speed;
    private final FairShareQueue queue;
    private final Map<RequestId, Running> running = new HashMap<>();
    private final ServiceTimeRatio serviceTimeRatio = new ServiceTimeRatio();
    private int reservedRunning;
    private long unreservedWorkMillis;

    private PriorityEngineQueue(EngineLimits limits, EngineSpeed speed, WorkspaceWeights weights) {
        this.limits = Objects.requireNonNull(limits, "limits");
        this.speed = Objects.requireNonNull(speed, "speed");
        this.queue = FairShareQueue.create(limits.capacity(), limits.maxShortMillis(), weights);
    }

    /** Returns an empty queue for an engine with the given speed. */
    public static PriorityEngineQueue create(EngineLimits limits, EngineSpeed speed, WorkspaceWeights weights) {
        return new PriorityEngineQueue(limits, speed, weights);
    }

    @Override
    public AdmissionResult offer(RequestSpec request, long nowMillis) {
        long serviceMillis = request.work().serviceMillis(speed);
        return queue.offer(request, serviceMillis, latestStartMillis(request), nowMillis);
    }

    @Override
    public Optional<RequestSpec> poll(long nowMillis) {
        if (running.size() >= limits.slots()) {
            return Optional.empty();
        }
        Optional<RequestSpec> first = firstReachable(nowMillis);
        if (first.isEmpty()) {
            return first;
        }
        long serviceMillis = first.get().work().serviceMillis(speed);
        boolean reservedFree = reservedRunning < limits.reservedSlots();
        if (reservedFree && serviceMillis <= limits.maxShortMillis()) {
            return start(queue.poll(nowMillis), true, nowMillis);
        }
        if (hasUnreservedCapacity(serviceMillis)) {
            return start(queue.poll(nowMillis), false, nowMillis);
        }
        return reservedFree ? start(reachableShort(nowMillis), true, nowMillis) : Optional.empty();
    }

    /**
     * Returns the next request that can meet its deadline, and marks those before it as unreachable. The latest start
     * is checked again, because the queue stores the one computed at the offer and the engine may have become slower
     * since.
     */
    private Optional<RequestSpec> firstReachable(long nowMillis) {
        Optional<RequestSpec> first = queue.peek(nowMillis);
        while (first.isPresent() && latestStartMillis(first.get()) < nowMillis) {
            queue.markUnreachable(first.get());
            first = queue.peek(nowMillis);
        }
        return first;
    }

    private Optional<RequestSpec> reachableShort(long nowMillis) {
        Optional<RequestSpec> first = queue.peekShort(nowMillis);
        while (first.isPresent() && latestStartMillis(first.get()) < nowMillis) {
            queue.markUnreachable(first.get());
            first = queue.peekShort(nowMillis);
        }
        return queue.pollShort(nowMillis);
    }

    private long latestStartMillis(RequestSpec request) {
        return request.deadlineMillis()
                - serviceTimeRatio.upperMillis(request.work().serviceMillis(speed));
    }

    private boolean hasUnreservedCapacity(long serviceMillis) {
        int unreservedRunning = running.size() - reservedRunning;
        return unreservedRunning == 0
                || unreservedRunning < limits.slots() - limits.reservedSlots()
                        && unreservedWorkMillis + serviceMillis <= limits.maxUnreservedWorkMillis();
    }

    private Optional<RequestSpec> start(Optional<RequestSpec> request, boolean reserved, long nowMillis) {
        request.ifPresent(started -> {
            long serviceMillis = started.work().serviceMillis(speed);
            running.put(started.id(), new Running(serviceMillis, reserved, nowMillis));
            if (reserved) {
                reservedRunning++;
            } else {
                unreservedWorkMillis += serviceMillis;
            }
        });
        return request;
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
    public void onEnded(RequestId id, long nowMillis) {
        Running ended = running.remove(id);
        if (ended == null) {
            return;
        }
        serviceTimeRatio.observe(ended.serviceMillis(), ended.elapsedMillis(nowMillis));
        if (ended.reserved()) {
            reservedRunning--;
        } else {
            unreservedWorkMillis -= ended.serviceMillis();
        }
    }

    @Override
    public long backlogMillis(long nowMillis) {
        long runningMillis = running.values().stream()
                .mapToLong(each ->
                        Math.max(0, serviceTimeRatio.meanMillis(each.serviceMillis()) - each.elapsedMillis(nowMillis)))
                .sum();
        return (runningMillis + serviceTimeRatio.meanMillis(queue.backlogMillis(Tier.BATCH))) / limits.slots();
    }

    @Override
    public int running() {
        return running.size();
    }

    @Override
    public int queued() {
        return queue.size();
    }

    private record Running(long serviceMillis, boolean reserved, long startedMillis) {
        long elapsedMillis(long nowMillis) {
            return nowMillis - startedMillis;
        }
    }
}
