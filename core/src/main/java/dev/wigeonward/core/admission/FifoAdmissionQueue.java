package dev.wigeonward.core.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.common.base.Preconditions;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;

/** Baseline first-in, first-out queue that ignores tiers, shares and deadlines, and refuses requests when full. */
public final class FifoAdmissionQueue implements AdmissionQueue {
    private final int capacity;
    private final Map<RequestId, Waiting> waiting = new LinkedHashMap<>();

    private FifoAdmissionQueue(int capacity) {
        Preconditions.checkArgument(capacity > 0, "capacity must be positive but was %s", capacity);
        this.capacity = capacity;
    }

    /** Returns an empty queue for at most {@code capacity} requests. */
    public static FifoAdmissionQueue withCapacity(int capacity) {
        return new FifoAdmissionQueue(capacity);
    }

    @Override
    public AdmissionResult offer(RequestSpec request, long serviceMillis, long nowMillis) {
        if (waiting.size() >= capacity) {
            return new AdmissionResult.Refused(Failure.of(ErrorKind.OVERLOADED, "the queue is full"));
        }
        waiting.put(request.id(), new Waiting(request, serviceMillis));
        return new AdmissionResult.Queued(List.of());
    }

    @Override
    public Optional<RequestSpec> poll(long nowMillis) {
        var iterator = waiting.values().iterator();
        if (!iterator.hasNext()) {
            return Optional.empty();
        }
        RequestSpec first = iterator.next().request();
        iterator.remove();
        return Optional.of(first);
    }

    @Override
    public void putBack(RequestSpec request, long serviceMillis) {
        Map<RequestId, Waiting> others = new LinkedHashMap<>(waiting);
        waiting.clear();
        waiting.put(request.id(), new Waiting(request, serviceMillis));
        waiting.putAll(others);
    }

    @Override
    public List<RequestSpec> removeExpired(long nowMillis) {
        List<RequestSpec> expired = new ArrayList<>();
        waiting.values().removeIf(entry -> {
            boolean isExpired = entry.request().deadlineMillis() <= nowMillis;
            if (isExpired) {
                expired.add(entry.request());
            }
            return isExpired;
        });
        return expired;
    }

    @Override
    public boolean remove(RequestId id) {
        return waiting.remove(id) != null;
    }

    @Override
    public long backlogMillis(Tier lowest) {
        return waiting.values().stream().mapToLong(Waiting::serviceMillis).sum();
    }

    @Override
    public int size() {
        return waiting.size();
    }

    private record Waiting(RequestSpec request, long serviceMillis) {}
}
