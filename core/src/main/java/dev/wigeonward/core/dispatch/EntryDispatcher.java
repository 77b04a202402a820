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
import dev.wigeonward.core.placement.UpstreamPool;
import dev.wigeonward.core.placement.UpstreamState;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;

/**
 * Decides for one entry which request goes to which agent and when. Keeps every request from its arrival to its answer;
 * a request is sent to a second agent only after the first one proved that it did not run it. Not thread-safe.
 */
public final class EntryDispatcher {
    /** Choices made before a request waits, since a policy that samples may hit upstreams without room. */
    private static final int PLACEMENT_TRIES = 3;

    private final DispatchPolicies policies;
    private final DispatchLimits limits;
    private final UpstreamDirectory upstreams = new UpstreamDirectory();
    private final Map<String, AdmissionQueue> queues = new HashMap<>();
    private final Map<RequestId, Flight> flights = new LinkedHashMap<>();
    private final ClaimSteps claims;
    private final AnswerSteps answers;
    private List<EntryEffect> effects = new ArrayList<>();
    private boolean draining;

    private EntryDispatcher(DispatchPolicies policies, DispatchLimits limits) {
        this.policies = Objects.requireNonNull(policies, "policies");
        this.limits = Objects.requireNonNull(limits, "limits");
        this.claims = new ClaimSteps(this, upstreams);
        this.answers = new AnswerSteps(this, upstreams, limits);
    }

    /** Returns a dispatcher that knows no upstream. */
    public static EntryDispatcher create(DispatchPolicies policies, DispatchLimits limits) {
        return new EntryDispatcher(policies, limits);
    }

    /** Returns the effects of an event, in the order in which they must be carried out. */
    public List<EntryEffect> handle(EntryEvent event, long nowMillis) {
        effects = new ArrayList<>();
        if (event instanceof EntryEvent.RequestArrived arrived) {
            arrive(arrived.request(), nowMillis);
        } else if (event instanceof EntryEvent.CallerGone gone) {
            callerGone(gone.request(), nowMillis);
        } else if (event instanceof EntryEvent.ClaimAnswered answered) {
            claims.answered(answered.request(), answered.answer(), nowMillis);
        } else if (event instanceof EntryEvent.Tick) {
            tick(nowMillis);
        } else if (event instanceof EntryEvent.DrainStarted) {
            draining = true;
        } else if (!handleUpstream(event, nowMillis)) {
            answers.handle(event, nowMillis);
        }
        return effects;
    }

    private boolean handleUpstream(EntryEvent event, long nowMillis) {
        if (event instanceof EntryEvent.LinkUp up) {
            boolean restarted = upstreams.linkUp(up.upstream());
            answers.linkUp(up.upstream(), restarted, nowMillis);
            pump(up.upstream().target(), nowMillis);
            return true;
        }
        if (event instanceof EntryEvent.LinkDown down) {
            upstreams.linkDown(down.upstreamId());
            answers.linkDown(down.upstreamId(), nowMillis);
            return true;
        }
        if (event instanceof EntryEvent.UpstreamLeaving leaving) {
            upstreams.leaving(leaving.upstreamId());
            return true;
        }
        if (event instanceof EntryEvent.LoadReported load) {
            upstreams.load(load, nowMillis);
            upstreams
                    .find(load.upstreamId())
                    .ifPresent(state -> pump(state.description().target(), nowMillis));
            return true;
        }
        return false;
    }

    /** Returns whether no request is left, so that a drain is complete. */
    public boolean idle() {
        return flights.isEmpty();
    }

    /** Returns the number of requests between arrival and answer. */
    public int inFlight() {
        return flights.size();
    }

    /** Returns whether requests of this entry are at the upstream. */
    public boolean hasRequestsAt(String upstreamId) {
        return !flightsAt(upstreamId).isEmpty();
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

    private void arrive(RequestSpec request, long nowMillis) {
        policies.retries().onRequest(nowMillis);
        Optional<Failure> refusal = refusal(request, nowMillis);
        if (refusal.isPresent()) {
            refuse(request, refusal.get());
            return;
        }
        Flight flight = new Flight(request);
        Optional<Placement> estimate = choose(flight, nowMillis);
        if (estimate.isEmpty()) {
            refuse(request, Failure.of(ErrorKind.NO_UPSTREAM, "no upstream serves " + request.target()));
            return;
        }
        AdmissionQueue queue = queue(request.target());
        long waitMillis = expectedWaitMillis(request, queue);
        long serviceMillis = estimate.get().serviceMillis();
        if (waitMillis + serviceMillis > request.timeLeftMillis(nowMillis)) {
            refuse(
                    request,
                    Failure.of(
                            ErrorKind.DEADLINE_UNREACHABLE,
                            "expected wait of %d ms and service of %d ms exceed the %d ms left"
                                    .formatted(waitMillis, serviceMillis, request.timeLeftMillis(nowMillis))));
            return;
        }
        flight.serviceMillis = serviceMillis;
        AdmissionResult result = queue.offer(request, serviceMillis, nowMillis);
        if (result instanceof AdmissionResult.Refused refused) {
            refuse(request, refused.failure());
            return;
        }
        flights.put(request.id(), flight);
        for (RequestSpec displaced : ((AdmissionResult.Queued) result).displaced()) {
            fail(
                    flights.get(displaced.id()),
                    Failure.of(ErrorKind.DISPLACED, "displaced by a request that goes first"),
                    nowMillis);
        }
        pump(request.target(), nowMillis);
    }

    private Optional<Failure> refusal(RequestSpec request, long nowMillis) {
        if (draining) {
            return Optional.of(Failure.of(ErrorKind.SHUTTING_DOWN, "this entry is shutting down"));
        }
        return suspected(request, nowMillis);
    }

    private Optional<Failure> suspected(RequestSpec request, long nowMillis) {
        return switch (policies.suspects().rule(request, nowMillis)) {
            case PASS -> Optional.empty();
            case WAIT ->
                Optional.of(Failure.of(ErrorKind.OVERLOADED, "the request is suspect and runs elsewhere already"));
            case REFUSE -> Optional.of(Failure.of(ErrorKind.SUSPECT, "upstreams died while they ran this request"));
        };
    }

    /**
     * Only work that goes first in the own queue counts. Reported backlogs cover all tiers and the remaining time of
     * running requests: they would refuse work that displaces others or starts in the next free slot. The agent checks
     * the deadline again before it hands the request over.
     */
    private long expectedWaitMillis(RequestSpec request, AdmissionQueue queue) {
        return queue.backlogMillis(request.tier()) / Math.max(1, upstreams.slots(request.target()));
    }

    private void callerGone(RequestId id, long nowMillis) {
        Flight flight = flights.get(id);
        if (flight == null) {
            return;
        }
        flight.callerGone = true;
        if (flight.phase == Flight.Phase.QUEUED) {
            queue(flight.request.target()).remove(id);
            end(flight, nowMillis);
            return;
        }
        if (flight.claimed()) {
            // The run goes on so that its outcome can be stored for a resend with the same key.
            return;
        }
        if (flight.phase == Flight.Phase.DISPATCHED) {
            emit(new EntryEffect.SendCancel(id, flight.upstreamId));
        }
        end(flight, nowMillis);
        pump(flight.request.target(), nowMillis);
    }

    private void tick(long nowMillis) {
        for (Map.Entry<String, AdmissionQueue> entry : queues.entrySet()) {
            for (RequestSpec expired : entry.getValue().removeExpired(nowMillis)) {
                fail(
                        flights.get(expired.id()),
                        Failure.of(ErrorKind.DEADLINE_EXCEEDED_IN_QUEUE, "the deadline passed in the queue"),
                        nowMillis);
            }
        }
        for (Flight flight : List.copyOf(flights.values())) {
            answers.checkTime(flight, nowMillis);
        }
        List.copyOf(queues.keySet()).forEach(target -> pump(target, nowMillis));
    }

    /** Hands queued requests over as long as upstreams have room. */
    void pump(String target, long nowMillis) {
        AdmissionQueue queue = queue(target);
        while (true) {
            Optional<RequestSpec> next = queue.poll(nowMillis);
            if (next.isEmpty()) {
                return;
            }
            Flight flight = flights.get(next.get().id());
            if (!place(flight, nowMillis)) {
                queue.putBack(next.get(), flight.serviceMillis);
                return;
            }
        }
    }

    /** Returns false if the request has to wait for room. */
    private boolean place(Flight flight, long nowMillis) {
        RequestSpec request = flight.request;
        Optional<Failure> suspected = suspected(request, nowMillis);
        if (suspected.isPresent()) {
            // News of a death may have come, or another copy been dispatched, while the request was queued.
            fail(flight, suspected.get(), nowMillis);
            return true;
        }
        for (int attempt = 0; attempt < PLACEMENT_TRIES; attempt++) {
            Optional<Placement> choice = choose(flight, nowMillis);
            if (choice.isEmpty()) {
                fail(flight, Failure.of(ErrorKind.NO_UPSTREAM, "no upstream serves " + request.target()), nowMillis);
                return true;
            }
            if (choice.get().serviceMillis() > request.timeLeftMillis(nowMillis)) {
                fail(
                        flight,
                        Failure.of(ErrorKind.DEADLINE_UNREACHABLE, "too little time is left to serve the request"),
                        nowMillis);
                return true;
            }
            UpstreamState state = upstreams.usable(choice.get().upstreamId()).orElseThrow();
            if (request.key().isPresent() || hasRoom(state, request.tier())) {
                assign(flight, state, choice.get(), nowMillis);
                return true;
            }
        }
        return false;
    }

    private boolean hasRoom(UpstreamState state, Tier tier) {
        int factor = limits.windowFactor() + Tier.BATCH.ordinal() - tier.ordinal();
        return state.ownOutstanding() < factor * state.description().slots();
    }

    private Optional<Placement> choose(Flight flight, long nowMillis) {
        RequestSpec request = flight.request;
        Set<String> versions = upstreams.versions(request.target());
        if (versions.isEmpty()) {
            return Optional.empty();
        }
        if (flight.version == null || !versions.contains(flight.version)) {
            flight.version =
                    policies.versions().select(request, versions, nowMillis).orElse(null);
        }
        if (flight.version == null) {
            return Optional.empty();
        }
        boolean keyed = request.key().isPresent() && request.idempotent();
        PlacementPolicy policy = keyed ? policies.keyedPlacement() : policies.placement();
        Optional<UpstreamPool> pool = upstreams.pool(request.target(), flight.version);
        return pool.flatMap(members -> policy.choose(request, members, nowMillis));
    }

    private void assign(Flight flight, UpstreamState state, Placement placement, long nowMillis) {
        occupyPlace(flight, state, placement.serviceMillis(), nowMillis);
        if (flight.claimed()) {
            flight.phase = Flight.Phase.CLAIMING;
            emit(new EntryEffect.MakeClaim(flight.request.id(), flight.upstreamId, flight.upstreamIncarnation));
            return;
        }
        claims.dispatch(flight, nowMillis);
    }

    /** Tries a request that provably did not run once more, or fails it. */
    void retryOrFail(Flight flight, Failure failure, long nowMillis) {
        releasePlace(flight, nowMillis);
        boolean mayRetry = failure.kind().retryable()
                && !draining
                && flight.attempts < limits.maxAttempts()
                && flight.request.timeLeftMillis(nowMillis) > 0
                && policies.retries().tryAcquire(nowMillis);
        if (!mayRetry) {
            fail(flight, failure, nowMillis);
            return;
        }
        flight.phase = Flight.Phase.QUEUED;
        flight.detachedAtMillis = -1;
        queue(flight.request.target()).putBack(flight.request, flight.serviceMillis);
        pump(flight.request.target(), nowMillis);
    }

    void fail(Flight flight, Failure failure, long nowMillis) {
        boolean thisCopyDidNotRun =
                failure.kind().runState() == RunState.NOT_RUN || failure.kind() == ErrorKind.CLAIM_UNAVAILABLE;
        if (flight.claimed() && thisCopyDidNotRun) {
            emit(new EntryEffect.ReleaseClaim(flight.request.id()));
        }
        if (!flight.callerGone) {
            Failure known = flight.claimOwned ? failure : beforeClaim(flight.request, failure);
            emit(new EntryEffect.DeliverFailure(flight.request.id(), known));
        }
        end(flight, nowMillis);
    }

    /** Forgets a request and frees its place. */
    void end(Flight flight, long nowMillis) {
        releasePlace(flight, nowMillis);
        flights.remove(flight.request.id());
        emit(new EntryEffect.Forget(flight.request.id()));
    }

    /** Counts the request as outstanding at an upstream. */
    void occupyPlace(Flight flight, UpstreamState state, long serviceMillis, long nowMillis) {
        flight.upstreamId = state.description().upstreamId();
        flight.upstreamIncarnation = state.description().incarnation();
        flight.serviceMillis = serviceMillis;
        state.onDispatched(serviceMillis);
        policies.suspects().onDispatched(flight.request, nowMillis);
    }

    void releasePlace(Flight flight, long nowMillis) {
        if (flight.upstreamId == null) {
            return;
        }
        upstreams
                .find(flight.upstreamId)
                .filter(state -> state.description().incarnation() == flight.upstreamIncarnation)
                .ifPresent(state -> state.onEnded(flight.serviceMillis));
        policies.suspects().onEnded(flight.request, nowMillis);
        flight.upstreamId = null;
    }

    Optional<Flight> flight(RequestId id) {
        return Optional.ofNullable(flights.get(id));
    }

    ClaimSteps claims() {
        return claims;
    }

    List<Flight> flightsAt(String upstreamId) {
        return flights.values().stream()
                .filter(flight -> upstreamId.equals(flight.upstreamId))
                .toList();
    }

    void emit(EntryEffect effect) {
        effects.add(effect);
    }

    /** An earlier copy of a claimed request may have run, so "not run" is not known before its claim was read. */
    private static Failure beforeClaim(RequestSpec request, Failure failure) {
        return request.idempotent() || failure.kind().runState() != RunState.NOT_RUN
                ? failure
                : Failure.of(ErrorKind.CLAIM_UNREAD, failure.message());
    }

    private void refuse(RequestSpec request, Failure failure) {
        emit(new EntryEffect.DeliverFailure(request.id(), beforeClaim(request, failure)));
        emit(new EntryEffect.Forget(request.id()));
    }

    private AdmissionQueue queue(String target) {
        return queues.computeIfAbsent(target, name -> policies.queues().get());
    }
}
