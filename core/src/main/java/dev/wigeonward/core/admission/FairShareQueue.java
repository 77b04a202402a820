package dev.wigeonward.core.admission;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;

import com.google.common.base.Preconditions;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;

/**
 * Bounded queue ordered strictly by tier and, within a tier, by start-time fair queueing over the workspaces. When it
 * is full, an arriving request displaces the last one in this order, provided that it precedes it. Operations take time
 * logarithmic in the number of requests. Not thread-safe.
 */
public final class FairShareQueue {
    private final int capacity;
    private final long shortMillis;
    private final Map<Tier, TierBacklog> tiers = new EnumMap<>(Tier.class);
    private final Map<RequestId, QueuedRequest> queued = new HashMap<>();
    private final TreeSet<QueuedRequest> byLatestStart = new TreeSet<>(QueuedRequest.BY_LATEST_START);
    /** Requests that cannot meet their deadline: removed from the order, and kept until {@link #removeExpired}. */
    private final Map<RequestId, RequestSpec> unreachable = new LinkedHashMap<>();

    private long nextSequence;
    private long nextFrontSequence = -1;

    private FairShareQueue(int capacity, long shortMillis, WorkspaceWeights weights) {
        Preconditions.checkArgument(capacity > 0, "capacity must be positive but was %s", capacity);
        Preconditions.checkArgument(shortMillis >= 0, "shortMillis must not be negative but was %s", shortMillis);
        Objects.requireNonNull(weights, "weights");
        this.capacity = capacity;
        this.shortMillis = shortMillis;
        for (Tier tier : Tier.values()) {
            tiers.put(tier, TierBacklog.create(weights));
        }
    }

    /**
     * Returns an empty queue.
     *
     * @param capacity maximum number of queued requests
     * @param shortMillis longest service time of a short request, in milliseconds
     */
    public static FairShareQueue create(int capacity, long shortMillis, WorkspaceWeights weights) {
        return new FairShareQueue(capacity, shortMillis, weights);
    }

    /**
     * Adds the request or refuses it, and returns which of the two happened. Requests that cannot meet their deadline
     * are removed from the order first. If the queue is full, the last request of the lowest tier below that of the
     * arriving one is displaced; if there is none, the last request of the same tier is displaced, provided that it
     * follows the arriving one in fair order. Without the second rule, one workspace that fills the queue would lock
     * out the others.
     *
     * @param serviceMillis expected time to serve the request, in milliseconds
     * @param latestStartMillis time after which the request cannot meet its deadline if it has not started
     */
    public AdmissionResult offer(RequestSpec request, long serviceMillis, long latestStartMillis, long nowMillis) {
        Preconditions.checkArgument(
                !queued.containsKey(request.id()), "request %s must not be queued already", request.id());
        if (latestStartMillis < nowMillis) {
            return refused(ErrorKind.DEADLINE_UNREACHABLE, "too little time is left to serve the request");
        }
        markOverdueUnreachable(nowMillis);
        if (queued.size() < capacity) {
            insert(newItem(request, serviceMillis, latestStartMillis, nextSequence++));
            return new AdmissionResult.Queued(List.of());
        }
        Optional<QueuedRequest> displaced = findDisplaced(request);
        if (displaced.isEmpty()) {
            return refused(ErrorKind.OVERLOADED, "the queue is full");
        }
        remove(displaced.get().request().id());
        insert(newItem(request, serviceMillis, latestStartMillis, nextSequence++));
        return new AdmissionResult.Queued(List.of(displaced.get().request()));
    }

    private Optional<QueuedRequest> findDisplaced(RequestSpec arriving) {
        Tier[] allTiers = Tier.values();
        for (int i = allTiers.length - 1; arriving.tier().isAbove(allTiers[i]); i--) {
            Optional<QueuedRequest> last = tiers.get(allTiers[i]).last();
            if (last.isPresent()) {
                return last;
            }
        }
        return tiers.get(arriving.tier()).lastAfter(arriving.workspace());
    }

    /** Returns the next request without removing it, or empty if none that can meet its deadline is queued. */
    public Optional<RequestSpec> peek(long nowMillis) {
        markOverdueUnreachable(nowMillis);
        return firstOf(TierBacklog::first).map(QueuedRequest::request);
    }

    /** Removes and returns the next request, or returns empty if none that can meet its deadline is queued. */
    public Optional<RequestSpec> poll(long nowMillis) {
        markOverdueUnreachable(nowMillis);
        return removeForService(firstOf(TierBacklog::first));
    }

    /** Returns the next short request without removing it, or empty if none that can meet its deadline is queued. */
    public Optional<RequestSpec> peekShort(long nowMillis) {
        markOverdueUnreachable(nowMillis);
        return firstOf(TierBacklog::firstShort).map(QueuedRequest::request);
    }

    /** Removes and returns the next short request, or returns empty if none that can meet its deadline is queued. */
    public Optional<RequestSpec> pollShort(long nowMillis) {
        markOverdueUnreachable(nowMillis);
        return removeForService(firstOf(TierBacklog::firstShort));
    }

    private Optional<QueuedRequest> firstOf(Function<TierBacklog, Optional<QueuedRequest>> selector) {
        for (TierBacklog tier : tiers.values()) {
            Optional<QueuedRequest> first = selector.apply(tier);
            if (first.isPresent()) {
                return first;
            }
        }
        return Optional.empty();
    }

    private Optional<RequestSpec> removeForService(Optional<QueuedRequest> next) {
        next.ifPresent(item -> {
            queued.remove(item.request().id());
            byLatestStart.remove(item);
            tiers.get(item.request().tier()).removeForService(item);
        });
        return next.map(QueuedRequest::request);
    }

    /**
     * Reinserts a polled request at the front of its tier and workspace. The request was already admitted, so it may
     * exceed the capacity.
     */
    public void putBack(RequestSpec request, long serviceMillis, long latestStartMillis) {
        Preconditions.checkArgument(
                !queued.containsKey(request.id()), "request %s must not be queued already", request.id());
        QueuedRequest item = newItem(request, serviceMillis, latestStartMillis, nextFrontSequence--);
        queued.put(request.id(), item);
        byLatestStart.add(item);
        tiers.get(request.tier()).putBack(item);
    }

    /**
     * Removes a queued request that cannot meet its deadline from the order; the next {@link #removeExpired} returns
     * it.
     */
    public void markUnreachable(RequestSpec request) {
        if (remove(request.id())) {
            unreachable.put(request.id(), request);
        }
    }

    /** Removes and returns the requests that can no longer meet their deadline. */
    public List<RequestSpec> removeExpired(long nowMillis) {
        markOverdueUnreachable(nowMillis);
        List<RequestSpec> removed = new ArrayList<>(unreachable.values());
        unreachable.clear();
        return removed;
    }

    private void markOverdueUnreachable(long nowMillis) {
        while (!byLatestStart.isEmpty() && byLatestStart.first().latestStartMillis() < nowMillis) {
            markUnreachable(byLatestStart.first().request());
        }
    }

    /** Removes the request and returns whether it was queued or marked as unreachable. */
    public boolean remove(RequestId id) {
        QueuedRequest item = queued.remove(id);
        if (item == null) {
            return unreachable.remove(id) != null;
        }
        byLatestStart.remove(item);
        tiers.get(item.request().tier()).remove(item);
        return true;
    }

    /** Returns the expected time to serve all queued requests of the given tier and higher ones, in milliseconds. */
    public long backlogMillis(Tier lowest) {
        return Arrays.stream(Tier.values())
                .filter(tier -> !lowest.isAbove(tier))
                .mapToLong(tier -> tiers.get(tier).backlogMillis())
                .sum();
    }

    /** Returns the number of queued requests, excluding those that cannot meet their deadline. */
    public int size() {
        return queued.size();
    }

    private QueuedRequest newItem(RequestSpec request, long serviceMillis, long latestStartMillis, long sequence) {
        return new QueuedRequest(request, serviceMillis, latestStartMillis, sequence, serviceMillis <= shortMillis);
    }

    private void insert(QueuedRequest item) {
        queued.put(item.request().id(), item);
        byLatestStart.add(item);
        tiers.get(item.request().tier()).add(item);
    }

    private static AdmissionResult refused(ErrorKind kind, String message) {
        return new AdmissionResult.Refused(Failure.of(kind, message));
    }
}
