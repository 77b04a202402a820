package dev.wigeonward.core.engine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.common.base.Preconditions;
import dev.wigeonward.core.admission.AdmissionResult;
import dev.wigeonward.core.admission.FifoAdmissionQueue;
import dev.wigeonward.core.request.EngineSpeed;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;

/** Baseline queue that submits requests in order of arrival, up to the number of slots of the engine. */
public final class FifoEngineQueue implements EngineQueue {
    private final int slots;
    private final EngineSpeed speed;
    private final FifoAdmissionQueue waiting;
    private final Map<RequestId, Long> runningWorkMillis = new HashMap<>();

    private FifoEngineQueue(int slots, EngineSpeed speed, int capacity) {
        Preconditions.checkArgument(slots > 0, "slots must be positive but was %s", slots);
        this.slots = slots;
        this.speed = speed;
        this.waiting = FifoAdmissionQueue.withCapacity(capacity);
    }

    /** Returns an empty queue for an engine with the given slots and speed. */
    public static FifoEngineQueue create(int slots, EngineSpeed speed, int capacity) {
        return new FifoEngineQueue(slots, speed, capacity);
    }

    @Override
    public AdmissionResult offer(RequestSpec request, long nowMillis) {
        return waiting.offer(request, request.work().serviceMillis(speed), nowMillis);
    }

    @Override
    public Optional<RequestSpec> poll(long nowMillis) {
        if (runningWorkMillis.size() >= slots) {
            return Optional.empty();
        }
        Optional<RequestSpec> next = waiting.poll(nowMillis);
        next.ifPresent(
                request -> runningWorkMillis.put(request.id(), request.work().serviceMillis(speed)));
        return next;
    }

    @Override
    public List<RequestSpec> removeExpired(long nowMillis) {
        return waiting.removeExpired(nowMillis);
    }

    @Override
    public boolean remove(RequestId id) {
        return waiting.remove(id);
    }

    @Override
    public void onEnded(RequestId id, long nowMillis) {
        runningWorkMillis.remove(id);
    }

    @Override
    public long backlogMillis(long nowMillis) {
        long runningMillis =
                runningWorkMillis.values().stream().mapToLong(Long::longValue).sum();
        return (runningMillis + waiting.backlogMillis(Tier.BATCH)) / slots;
    }

    @Override
    public int running() {
        return runningWorkMillis.size();
    }

    @Override
    public int queued() {
        return waiting.size();
    }
}
