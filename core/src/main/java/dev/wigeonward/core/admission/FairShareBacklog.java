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
 * Bounded backlog in strict order of tiers and, within a tier, of start-time fair queueing over the workspaces. When it
 * is full, the request that comes last in this order gives way to one that comes before it. Operations take time
 * logarithmic in the number of requests. Not thread-safe.
 */
public final class FairShareBacklog {
    private final int capacity;
    private final long shortMillis;
    private final Map<Tier, TierBacklog> tiers = new EnumMap<>(Tier.class);
    private final Map<RequestId, QueuedRequest> items = new HashMap<>();
    private final TreeSet<QueuedRequest> byLatestStart = new TreeSet<>(QueuedRequest.BY_LATEST_START);
    /** Requests that left the order because they cannot meet their deadline and were not yet reported. */
    private final Map<RequestId, RequestSpec> unreachable = new LinkedHashMap<>();

    private long nextSequence;
    private long nextFrontSequence = -1;

    private FairShareBacklog(int capacity, long shortMillis, WorkspaceWeights weights) {
        Preconditions.checkArgument(capacity > 0, "capacity is %s", capacity);
        Preconditions.checkArgument(shortMillis >= 0, "shortMillis is %s", shortMillis);
        Objects.requireNonNull(weights, "weights");
        this.capacity = capacity;
        this.shortMillis = shortMillis;
        for (Tier tier : Tier.values()) {
            tiers.put(tier, TierBacklog.create(weights));
        }
    }

    /**
     * Returns an empty backlog.
     *
     * @param capacity requests that it holds at most
     * @param shortMillis service time up to which a request counts as short
     */
    public static FairShareBacklog create(int capacity, long shortMillis, WorkspaceWeights weights) {
        return new FairShareBacklog(capacity, shortMillis, weights);
    }

    /**
     * Returns whether the request was queued or refused. Unreachable requests leave the order first. In a full backlog
     * the last request of the lowest tier below gives way, else the last request of the own tier if it comes after the
     * arriving one in fair order: otherwise one workspace that fills the backlog would shut out the others.
     *
     * @param latestStartMillis time after which the request cannot meet its deadline
     */
    public AdmissionResult offer(RequestSpec request, long serviceMillis, long latestStartMillis, long nowMillis) {
        Preconditions.checkArgument(!items.containsKey(request.id()), "request %s is queued", request.id());
        if (latestStartMillis < nowMillis) {
            return refused(ErrorKind.DEADLINE_UNREACHABLE, "too little time is left to serve the request");
        }
        setAsideUnreachable(nowMillis);
        if (items.size() < capacity) {
            insert(item(request, serviceMillis, latestStartMillis, nextSequence++));
            return new AdmissionResult.Queued(List.of());
        }
        Optional<QueuedRequest> victim = victimFor(request);
        if (victim.isEmpty()) {
            return refused(ErrorKind.OVERLOADED, "the queue is full");
        }
        remove(victim.get().request().id());
        insert(item(request, serviceMillis, latestStartMillis, nextSequence++));
        return new AdmissionResult.Queued(List.of(victim.get().request()));
    }

    private Optional<QueuedRequest> victimFor(RequestSpec arriving) {
        Tier[] all = Tier.values();
        for (int i = all.length - 1; arriving.tier().isAbove(all[i]); i--) {
            Optional<QueuedRequest> last = tiers.get(all[i]).last();
            if (last.isPresent()) {
                return last;
            }
        }
        return tiers.get(arriving.tier()).lastAfter(arriving.workspace());
    }

    /** Returns the next request without removing it, or empty if no reachable one is queued. */
    public Optional<RequestSpec> peek(long nowMillis) {
        setAsideUnreachable(nowMillis);
        return firstOf(TierBacklog::first).map(QueuedRequest::request);
    }

    /** Removes and returns the next request, or empty if no reachable one is queued. */
    public Optional<RequestSpec> poll(long nowMillis) {
        setAsideUnreachable(nowMillis);
        return take(firstOf(TierBacklog::first));
    }

    /** Returns the next short request without removing it, or empty if no reachable short one is queued. */
    public Optional<RequestSpec> peekShort(long nowMillis) {
        setAsideUnreachable(nowMillis);
        return firstOf(TierBacklog::firstShort).map(QueuedRequest::request);
    }

    /** Removes and returns the next short request, or empty if no reachable short one is queued. */
    public Optional<RequestSpec> pollShort(long nowMillis) {
        setAsideUnreachable(nowMillis);
        return take(firstOf(TierBacklog::firstShort));
    }

    private Optional<QueuedRequest> firstOf(Function<TierBacklog, Optional<QueuedRequest>> choice) {
        for (TierBacklog tier : tiers.values()) {
            Optional<QueuedRequest> first = choice.apply(tier);
            if (first.isPresent()) {
                return first;
            }
        }
        return Optional.empty();
    }

    private Optional<RequestSpec> take(Optional<QueuedRequest> taken) {
        taken.ifPresent(item -> {
            items.remove(item.request().id());
            byLatestStart.remove(item);
            tiers.get(item.request().tier()).take(item);
        });
        return taken.map(QueuedRequest::request);
    }

    /**
     * Puts a request that was polled back at the front of its tier and workspace. It was admitted before, so it may
     * exceed the capacity.
     */
    public void putBack(RequestSpec request, long serviceMillis, long latestStartMillis) {
        Preconditions.checkArgument(!items.containsKey(request.id()), "request %s is queued", request.id());
        QueuedRequest item = item(request, serviceMillis, latestStartMillis, nextFrontSequence--);
        items.put(request.id(), item);
        byLatestStart.add(item);
        tiers.get(request.tier()).putBack(item);
    }

    /** Takes a queued request out of the order, to be returned by the next {@link #removeUnreachable}. */
    public void setAside(RequestSpec request) {
        if (remove(request.id())) {
            unreachable.put(request.id(), request);
        }
    }

    /** Removes and returns the requests that cannot meet their deadline any more. */
    public List<RequestSpec> removeUnreachable(long nowMillis) {
        setAsideUnreachable(nowMillis);
        List<RequestSpec> removed = new ArrayList<>(unreachable.values());
        unreachable.clear();
        return removed;
    }

    private void setAsideUnreachable(long nowMillis) {
        while (!byLatestStart.isEmpty() && byLatestStart.first().latestStartMillis() < nowMillis) {
            setAside(byLatestStart.first().request());
        }
    }

    /** Removes the request and returns whether it was queued. */
    public boolean remove(RequestId id) {
        QueuedRequest item = items.remove(id);
        if (item == null) {
            return unreachable.remove(id) != null;
        }
        byLatestStart.remove(item);
        tiers.get(item.request().tier()).remove(item);
        return true;
    }

    /** Returns the expected time to serve all queued requests of the tier and above, in milliseconds. */
    public long backlogMillis(Tier lowest) {
        return Arrays.stream(Tier.values())
                .filter(tier -> !lowest.isAbove(tier))
                .mapToLong(tier -> tiers.get(tier).backlogMillis())
                .sum();
    }

    /** Returns the number of queued requests, without those set aside as unreachable. */
    public int size() {
        return items.size();
    }

    private QueuedRequest item(RequestSpec request, long serviceMillis, long latestStartMillis, long sequence) {
        return new QueuedRequest(request, serviceMillis, latestStartMillis, sequence, serviceMillis <= shortMillis);
    }

    private void insert(QueuedRequest item) {
        items.put(item.request().id(), item);
        byLatestStart.add(item);
        tiers.get(item.request().tier()).add(item);
    }

    private static AdmissionResult refused(ErrorKind kind, String message) {
        return new AdmissionResult.Refused(Failure.of(kind, message));
    }
}
