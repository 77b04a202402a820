package dev.wigeonward.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import dev.wigeonward.core.admission.AdmissionQueue;
import dev.wigeonward.core.admission.AdmissionResult;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.error.RunState;
import dev.wigeonward.core.placement.Placement;
import dev.wigeonward.core.placement.PlacementPolicy;
import dev.wigeonward.core.placement.UpstreamLoadState;
import dev.wigeonward.core.placement.UpstreamPool;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;

/**
 * State machine of one entry: decides which request is dispatched to which agent and when. Holds every request from its
 * arrival to the end of its answer; a request is dispatched again only after its first agent proved that it did not run
 * it. Not thread-safe.
 */
public final class EntryDispatcher {
    /** Placements tried before a request waits, since a policy that samples may choose upstreams without room. */
    private static final int MAX_PLACEMENT_ATTEMPTS = 3;

    private final DispatchPolicies policies;
    private final DispatchLimits limits;
    private final UpstreamDirectory upstreams = new UpstreamDirectory();
    private final Map<String, AdmissionQueue> queues = new HashMap<>();
    private final Map<RequestId, PendingRequest> pendingRequests = new LinkedHashMap<>();
    private final ClaimHandler claimHandler;
    private final AnswerHandler answerHandler;
    private List<EntryEffect> effects = new ArrayList<>();
    private boolean draining;

    private EntryDispatcher(DispatchPolicies policies, DispatchLimits limits) {
        this.policies = Objects.requireNonNull(policies, "policies");
        this.limits = Objects.requireNonNull(limits, "limits");
        this.claimHandler = new ClaimHandler(this, upstreams);
        this.answerHandler = new AnswerHandler(this, upstreams, limits);
    }

    /** Returns a dispatcher that knows no upstream. */
    public static EntryDispatcher create(DispatchPolicies policies, DispatchLimits limits) {
        return new EntryDispatcher(policies, limits);
    }

    /** Applies an event and returns its effects, in the order in which they must be carried out. */
    public List<EntryEffect> handle(EntryEvent event, long nowMillis) {
        effects = new ArrayList<>();
        if (event instanceof EntryEvent.RequestArrived arrived) {
            onRequestArrived(arrived.request(), nowMillis);
        } else if (event instanceof EntryEvent.CallerDisconnected disconnected) {
            onCallerDisconnected(disconnected.request(), nowMillis);
        } else if (event instanceof EntryEvent.ClaimAnswered answered) {
            claimHandler.onClaimAnswered(answered.request(), answered.answer(), nowMillis);
        } else if (event instanceof EntryEvent.Tick) {
            onTick(nowMillis);
        } else if (event instanceof EntryEvent.DrainStarted) {
            draining = true;
        } else if (!handleUpstream(event, nowMillis)) {
            answerHandler.handle(event, nowMillis);
        }
        return effects;
    }

    private boolean handleUpstream(EntryEvent event, long nowMillis) {
        if (event instanceof EntryEvent.LinkUp up) {
            boolean restarted = upstreams.onLinkUp(up.upstream());
            answerHandler.onLinkUp(up.upstream(), restarted, nowMillis);
            dispatchQueued(up.upstream().target(), nowMillis);
            return true;
        }
        if (event instanceof EntryEvent.LinkDown down) {
            upstreams.onLinkDown(down.upstreamId());
            answerHandler.onLinkDown(down.upstreamId(), nowMillis);
            return true;
        }
        if (event instanceof EntryEvent.UpstreamLeaving leaving) {
            upstreams.onLeaving(leaving.upstreamId());
            return true;
        }
        if (event instanceof EntryEvent.LoadReported load) {
            upstreams.onLoad(load, nowMillis);
            upstreams
                    .find(load.upstreamId())
                    .ifPresent(state -> dispatchQueued(state.description().target(), nowMillis));
            return true;
        }
        return false;
    }

    /** Returns whether no request is pending, so that a drain is complete. */
    public boolean isIdle() {
        return pendingRequests.isEmpty();
    }

    /** Returns the number of requests between their arrival and the end of their answer. */
    public int pendingCount() {
        return pendingRequests.size();
    }

    /** Returns whether requests of this entry are assigned to the upstream. */
    public boolean hasRequestsAt(String upstreamId) {
        return !pendingAt(upstreamId).isEmpty();
    }

    /** Returns the number of queued requests by target. */
    public Map<String, Integer> queuedByTarget() {
        Map<String, Integer> sizes = new HashMap<>();
        queues.forEach((target, queue) -> sizes.put(target, queue.size()));
        return sizes;
    }

    /** Returns the versions of a target that have usable upstreams. */
    public Set<String> versions(String target) {
        return Set.copyOf(upstreams.versions(target));
    }

    private void onRequestArrived(RequestSpec request, long nowMillis) {
        policies.retries().recordRequest(nowMillis);
        Optional<Failure> refusal = refusal(request, nowMillis);
        if (refusal.isPresent()) {
            refuse(request, refusal.get());
            return;
        }
        PendingRequest pending = new PendingRequest(request);
        Optional<Placement> estimate = choosePlacement(pending, nowMillis);
        if (estimate.isEmpty()) {
            refuse(request, Failure.of(ErrorKind.NO_UPSTREAM, "no usable upstream serves " + request.target()));
            return;
        }
        AdmissionQueue queue = queue(request.target());
        long waitMillis = expectedWaitMillis(request, queue);
        long serviceMillis = estimate.get().serviceMillis();
        if (waitMillis + serviceMillis > request.remainingMillis(nowMillis)) {
            refuse(
                    request,
                    Failure.of(
                            ErrorKind.DEADLINE_UNREACHABLE,
                            "expected wait of %d ms and service of %d ms exceed the %d ms left"
                                    .formatted(waitMillis, serviceMillis, request.remainingMillis(nowMillis))));
            return;
        }
        pending.serviceMillis = serviceMillis;
        AdmissionResult result = queue.offer(request, serviceMillis, nowMillis);
        if (result instanceof AdmissionResult.Refused refused) {
            refuse(request, refused.failure());
            return;
        }
        pendingRequests.put(request.id(), pending);
        for (RequestSpec displaced : ((AdmissionResult.Queued) result).displaced()) {
            fail(
                    pendingRequests.get(displaced.id()),
                    Failure.of(ErrorKind.DISPLACED, "displaced from the full queue by a request with precedence"),
                    nowMillis);
        }
        dispatchQueued(request.target(), nowMillis);
    }

    private Optional<Failure> refusal(RequestSpec request, long nowMillis) {
        if (draining) {
            return Optional.of(Failure.of(ErrorKind.SHUTTING_DOWN, "this entry is shutting down"));
        }
        return suspectRefusal(request, nowMillis);
    }

    private Optional<Failure> suspectRefusal(RequestSpec request, long nowMillis) {
        return switch (policies.suspects().decide(request, nowMillis)) {
            case PASS -> Optional.empty();
            case WAIT ->
                Optional.of(
                        Failure.of(ErrorKind.OVERLOADED, "another copy of the request, which is suspect, is running"));
            case REFUSE ->
                Optional.of(Failure.of(ErrorKind.SUSPECT, "several upstreams died while they ran the request"));
        };
    }

    /**
     * Returns the expected wait of a request. Only requests that precede it in the queue of this entry count: the
     * backlogs that agents report cover all tiers and the remaining time of running requests, and counting them would
     * refuse requests that displace others or start in the next free slot. The agent checks the deadline again before
     * it submits the request.
     */
    private long expectedWaitMillis(RequestSpec request, AdmissionQueue queue) {
        return queue.backlogMillis(request.tier()) / Math.max(1, upstreams.slots(request.target()));
    }

    private void onCallerDisconnected(RequestId id, long nowMillis) {
        PendingRequest pending = pendingRequests.get(id);
        if (pending == null) {
            return;
        }
        pending.callerDisconnected = true;
        if (pending.phase == PendingRequest.Phase.QUEUED) {
            queue(pending.request.target()).remove(id);
            end(pending, nowMillis);
            return;
        }
        if (pending.needsClaim()) {
            // The run continues so that its outcome can be stored for a resend with the same key.
            return;
        }
        if (pending.phase == PendingRequest.Phase.DISPATCHED) {
            emit(new EntryEffect.SendCancel(id, pending.upstreamId));
        }
        end(pending, nowMillis);
        dispatchQueued(pending.request.target(), nowMillis);
    }

    private void onTick(long nowMillis) {
        for (Map.Entry<String, AdmissionQueue> entry : queues.entrySet()) {
            for (RequestSpec expired : entry.getValue().removeExpired(nowMillis)) {
                fail(
                        pendingRequests.get(expired.id()),
                        Failure.of(
                                ErrorKind.DEADLINE_EXCEEDED_IN_QUEUE,
                                "the deadline passed while the request was queued"),
                        nowMillis);
            }
        }
        for (PendingRequest pending : List.copyOf(pendingRequests.values())) {
            answerHandler.checkTimeouts(pending, nowMillis);
        }
        List.copyOf(queues.keySet()).forEach(target -> dispatchQueued(target, nowMillis));
    }

    /** Dispatches queued requests of a target as long as upstreams have room. */
    void dispatchQueued(String target, long nowMillis) {
        AdmissionQueue queue = queue(target);
        while (true) {
            Optional<RequestSpec> next = queue.poll(nowMillis);
            if (next.isEmpty()) {
                return;
            }
            PendingRequest pending = pendingRequests.get(next.get().id());
            if (!dispatchIfRoom(pending, nowMillis)) {
                queue.putBack(next.get(), pending.serviceMillis);
                return;
            }
        }
    }

    /** Assigns an upstream to the request or fails it; returns false if the request has to wait for room. */
    private boolean dispatchIfRoom(PendingRequest pending, long nowMillis) {
        RequestSpec request = pending.request;
        Optional<Failure> refusal = suspectRefusal(request, nowMillis);
        if (refusal.isPresent()) {
            // An upstream's death may have been reported, or another copy dispatched, while the request was queued.
            fail(pending, refusal.get(), nowMillis);
            return true;
        }
        for (int attempt = 0; attempt < MAX_PLACEMENT_ATTEMPTS; attempt++) {
            Optional<Placement> choice = choosePlacement(pending, nowMillis);
            if (choice.isEmpty()) {
                fail(
                        pending,
                        Failure.of(ErrorKind.NO_UPSTREAM, "no usable upstream serves " + request.target()),
                        nowMillis);
                return true;
            }
            if (choice.get().serviceMillis() > request.remainingMillis(nowMillis)) {
                fail(
                        pending,
                        Failure.of(
                                ErrorKind.DEADLINE_UNREACHABLE,
                                "expected service of %d ms exceeds the %d ms left"
                                        .formatted(choice.get().serviceMillis(), request.remainingMillis(nowMillis))),
                        nowMillis);
                return true;
            }
            UpstreamLoadState state =
                    upstreams.usable(choice.get().upstreamId()).orElseThrow();
            if (request.key().isPresent() || hasRoom(state, request.tier())) {
                claimOrDispatch(pending, state, choice.get(), nowMillis);
                return true;
            }
        }
        return false;
    }

    private boolean hasRoom(UpstreamLoadState state, Tier tier) {
        int maxPerSlot = limits.outstandingPerSlot() + Tier.BATCH.ordinal() - tier.ordinal();
        return state.ownOutstanding() < maxPerSlot * state.description().slots();
    }

    private Optional<Placement> choosePlacement(PendingRequest pending, long nowMillis) {
        RequestSpec request = pending.request;
        Set<String> versions = upstreams.versions(request.target());
        if (versions.isEmpty()) {
            return Optional.empty();
        }
        if (pending.version == null || !versions.contains(pending.version)) {
            pending.version =
                    policies.versions().select(request, versions, nowMillis).orElse(null);
        }
        if (pending.version == null) {
            return Optional.empty();
        }
        boolean keyed = request.key().isPresent() && request.idempotent();
        PlacementPolicy policy = keyed ? policies.keyedPlacement() : policies.placement();
        Optional<UpstreamPool> pool = upstreams.pool(request.target(), pending.version);
        return pool.flatMap(members -> policy.choose(request, members, nowMillis));
    }

    private void claimOrDispatch(PendingRequest pending, UpstreamLoadState state, Placement placement, long nowMillis) {
        addOutstanding(pending, state, placement.serviceMillis(), nowMillis);
        if (pending.needsClaim()) {
            pending.phase = PendingRequest.Phase.CLAIMING;
            emit(new EntryEffect.AcquireClaim(pending.request.id(), pending.upstreamId, pending.upstreamIncarnation));
            return;
        }
        claimHandler.dispatch(pending, nowMillis);
    }

    /** Queues a request that provably did not run for another dispatch, or fails it if no retry is allowed. */
    void retryOrFail(PendingRequest pending, Failure failure, long nowMillis) {
        removeOutstanding(pending, nowMillis);
        boolean mayRetry = failure.kind().retryable()
                && !draining
                && pending.attempts < limits.maxAttempts()
                && pending.request.remainingMillis(nowMillis) > 0
                && policies.retries().tryAcquire(nowMillis);
        if (!mayRetry) {
            fail(pending, failure, nowMillis);
            return;
        }
        pending.phase = PendingRequest.Phase.QUEUED;
        pending.detachedAtMillis = -1;
        queue(pending.request.target()).putBack(pending.request, pending.serviceMillis);
        dispatchQueued(pending.request.target(), nowMillis);
    }

    void fail(PendingRequest pending, Failure failure, long nowMillis) {
        boolean thisCopyDidNotRun =
                failure.kind().runState() == RunState.NOT_RUN || failure.kind() == ErrorKind.CLAIM_UNAVAILABLE;
        if (pending.needsClaim() && thisCopyDidNotRun) {
            emit(new EntryEffect.ReleaseClaim(pending.request.id()));
        }
        if (!pending.callerDisconnected) {
            Failure delivered = pending.claimGranted ? failure : withoutUnprovenNotRun(pending.request, failure);
            emit(new EntryEffect.DeliverFailure(pending.request.id(), delivered));
        }
        end(pending, nowMillis);
    }

    /** Removes a request, which no longer counts as outstanding at its upstream. */
    void end(PendingRequest pending, long nowMillis) {
        removeOutstanding(pending, nowMillis);
        pendingRequests.remove(pending.request.id());
        emit(new EntryEffect.ReleaseRequest(pending.request.id()));
    }

    /** Assigns the request to an upstream and counts it as outstanding there. */
    void addOutstanding(PendingRequest pending, UpstreamLoadState state, long serviceMillis, long nowMillis) {
        pending.upstreamId = state.description().upstreamId();
        pending.upstreamIncarnation = state.description().incarnation();
        pending.serviceMillis = serviceMillis;
        state.onDispatched(serviceMillis);
        policies.suspects().recordDispatch(pending.request, nowMillis);
    }

    void removeOutstanding(PendingRequest pending, long nowMillis) {
        if (pending.upstreamId == null) {
            return;
        }
        upstreams
                .find(pending.upstreamId)
                .filter(state -> state.description().incarnation() == pending.upstreamIncarnation)
                .ifPresent(state -> state.onEnded(pending.serviceMillis));
        policies.suspects().recordEnd(pending.request, nowMillis);
        pending.upstreamId = null;
    }

    Optional<PendingRequest> pending(RequestId id) {
        return Optional.ofNullable(pendingRequests.get(id));
    }

    ClaimHandler claimHandler() {
        return claimHandler;
    }

    List<PendingRequest> pendingAt(String upstreamId) {
        return pendingRequests.values().stream()
                .filter(pending -> upstreamId.equals(pending.upstreamId))
                .toList();
    }

    void emit(EntryEffect effect) {
        effects.add(effect);
    }

    /**
     * Replaces a "not run" failure of a non-idempotent request, for use before its claim was read: an earlier copy of
     * the request may have run.
     */
    private static Failure withoutUnprovenNotRun(RequestSpec request, Failure failure) {
        return request.idempotent() || failure.kind().runState() != RunState.NOT_RUN
                ? failure
                : Failure.of(ErrorKind.CLAIM_UNREAD, failure.message());
    }

    private void refuse(RequestSpec request, Failure failure) {
        emit(new EntryEffect.DeliverFailure(request.id(), withoutUnprovenNotRun(request, failure)));
        emit(new EntryEffect.ReleaseRequest(request.id()));
    }

    private AdmissionQueue queue(String target) {
        return queues.computeIfAbsent(target, name -> policies.queues().get());
    }
}
