package dev.wigeonward.verification.faults;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import dev.wigeonward.core.admission.FairShareAdmissionQueue;
import dev.wigeonward.core.admission.WorkspaceWeights;
import dev.wigeonward.core.dispatch.AgentEvent;
import dev.wigeonward.core.dispatch.ClaimResult;
import dev.wigeonward.core.dispatch.DispatchLimits;
import dev.wigeonward.core.dispatch.DispatchPolicies;
import dev.wigeonward.core.dispatch.EntryDispatcher;
import dev.wigeonward.core.dispatch.EntryEffect;
import dev.wigeonward.core.dispatch.EntryEvent;
import dev.wigeonward.core.dispatch.RetryLimiter;
import dev.wigeonward.core.dispatch.SuspectPolicy;
import dev.wigeonward.core.dispatch.VersionRouter;
import dev.wigeonward.core.placement.KeyAffinity;
import dev.wigeonward.core.placement.LeastOutstanding;
import dev.wigeonward.core.request.DispatchId;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;

/** Simulated entry: the production entry dispatcher with fake adapters for callers, links and the store. */
final class EntryNode extends Node {
    private static final long STORE_TIMEOUT_MILLIS = 500;

    private final Simulation simulation;
    private final Map<RequestId, RequestSpec> requests = new HashMap<>();
    private final Set<RequestId> connected = new HashSet<>();
    private final Map<RequestId, FakeStore.Claim> ownClaims = new HashMap<>();
    private final Map<RequestId, String> stored = new HashMap<>();
    private final Map<RequestId, Long> claimCalls = new HashMap<>();
    private EntryDispatcher dispatcher;
    private String currentText = "";
    private long sequence;

    EntryNode(Simulation simulation, String id) {
        super(id);
        this.simulation = simulation;
    }

    void start() {
        onStarted();
    }

    @Override
    void onKilled() {
        simulation.network.cutAll(this);
        connected.forEach(request -> {
            EventLog.CallerResult caller = simulation.log.caller(request);
            caller.connectionLost |= caller.answers == 0;
        });
        connected.clear();
        requests.clear();
        ownClaims.clear();
        stored.clear();
        claimCalls.clear();
        simulation.log.cleared(id());
    }

    @Override
    void onStarted() {
        dispatcher = EntryDispatcher.create(
                new DispatchPolicies(
                        () -> FairShareAdmissionQueue.create(64, WorkspaceWeights.equal()),
                        LeastOutstanding.create(),
                        KeyAffinity.withFallback(LeastOutstanding.create()),
                        VersionRouter.first(),
                        RetryLimiter.unlimited(),
                        SuspectPolicy.allowAll()),
                DispatchLimits.defaults());
        simulation.agents.forEach(agent -> simulation.network.open(this, agent));
        tick();
    }

    private void tick() {
        simulation.after(simulation.tickMillis(), this, () -> {
            handle(new EntryEvent.Tick());
            tick();
        });
    }

    RequestId nextId() {
        return RequestId.of(id(), incarnation(), ++sequence);
    }

    /** Sends a request from a new caller; the connection is refused if the node is down. */
    void call(RequestSpec request) {
        EventLog.CallerResult caller = new EventLog.CallerResult(request);
        simulation.log.callers.put(request.id(), caller);
        if (!alive()) {
            caller.connectionLost = true;
            return;
        }
        connected.add(request.id());
        simulation.after(0, this, () -> {
            if (!endedByFaultAt(simulation, Step.ARRIVED)) {
                runOrDefer(() -> accept(request));
            }
        });
    }

    private void accept(RequestSpec request) {
        requests.put(request.id(), request);
        simulation.log.enqueued(id(), request);
        handle(new EntryEvent.RequestArrived(request));
    }

    void linkUp(AgentNode agent, long linkIncarnation) {
        handle(new EntryEvent.LinkUp(agent.description(linkIncarnation)));
    }

    void linkDown(AgentNode agent) {
        handle(new EntryEvent.LinkDown(agent.id()));
    }

    void fromAgent(EntryEvent event, String text) {
        boolean ends = event instanceof EntryEvent.OutputArrived && endedByFaultAt(simulation, Step.OUTPUT_ARRIVED)
                || event instanceof EntryEvent.Finished && endedByFaultAt(simulation, Step.FINISHED_ARRIVED);
        if (ends) {
            return;
        }
        if (frozen()) {
            runOrDefer(() -> fromAgent(event, text));
            return;
        }
        currentText = text;
        handle(event);
    }

    void handle(EntryEvent event) {
        if (!alive()) {
            return;
        }
        long startsBefore = starts();
        for (EntryEffect effect : dispatcher.handle(event, simulation.now())) {
            if (alive() && starts() == startsBefore) {
                execute(effect);
            }
        }
    }

    private void execute(EntryEffect effect) {
        if (effect instanceof EntryEffect.SendDispatch send) {
            if (endedByFaultAt(simulation, Step.DISPATCH_SENT)) {
                return;
            }
            dispatch(send.request(), send.dispatch(), send.upstreamId(), send.upstreamIncarnation(), Optional.empty());
        } else if (effect instanceof EntryEffect.SendAttach send) {
            Network.Link link = simulation.network.link(this, send.upstreamId());
            long incarnation = link == null ? 0 : link.agentIncarnation;
            dispatch(send.request(), send.dispatch(), send.upstreamId(), incarnation, Optional.of(send.claimedBy()));
        } else if (effect instanceof EntryEffect.SendReattach send) {
            Network.Link link = simulation.network.link(this, send.upstreamId());
            simulation.network.toAgent(
                    link,
                    () -> link.agent.reattached(
                            new AgentEvent.ReattachArrived(
                                    link.id,
                                    send.request(),
                                    send.dispatch(),
                                    send.upstreamIncarnation(),
                                    send.offsetBytes()),
                            link));
        } else if (effect instanceof EntryEffect.SendAcknowledge send) {
            if (endedByFaultAt(simulation, Step.ACKNOWLEDGED)) {
                return;
            }
            Network.Link link = simulation.network.link(this, send.upstreamId());
            simulation.network.toAgent(
                    link,
                    () -> link.agent.handle(new AgentEvent.AcknowledgeArrived(send.request(), send.offsetBytes())));
        } else if (effect instanceof EntryEffect.SendCancel send) {
            Network.Link link = simulation.network.link(this, send.upstreamId());
            simulation.network.toAgent(link, () -> link.agent.handle(new AgentEvent.CancelArrived(send.request())));
        } else if (!executeClaim(effect)) {
            deliver(effect);
        }
    }

    private void dispatch(
            RequestId id, DispatchId dispatch, String upstreamId, long incarnation, Optional<RequestId> attachTo) {
        Network.Link link = simulation.network.link(this, upstreamId);
        RequestSpec request = requests.get(id);
        simulation.log.dequeued(id(), id);
        if (link == null || request == null) {
            return;
        }
        simulation.lastDispatchedAgent = link.agent;
        AgentEvent.DispatchArrived event =
                new AgentEvent.DispatchArrived(link.id, request, dispatch, incarnation, attachTo);
        simulation.network.toAgent(link, () -> link.agent.dispatched(event, link));
    }

    private boolean executeClaim(EntryEffect effect) {
        if (effect instanceof EntryEffect.AcquireClaim acquire) {
            if (endedByFaultAt(simulation, Step.CLAIM_SENT)) {
                return true;
            }
            simulation.log.dequeued(id(), acquire.request());
            FakeStore.Claim own = ownClaims.get(acquire.request());
            claim(acquire.request(), own == null ? "" : own.id(), acquire.upstreamId(), acquire.upstreamIncarnation());
            return true;
        }
        if (effect instanceof EntryEffect.ReplaceClaim replacement) {
            claim(
                    replacement.request(),
                    replacement.previousClaimId(),
                    replacement.upstreamId(),
                    replacement.upstreamIncarnation());
            return true;
        }
        if (effect instanceof EntryEffect.ReleaseClaim release) {
            FakeStore.Claim own = ownClaims.remove(release.request());
            if (own != null) {
                simulation.store.cleanUp(this, key(release.request()), Set.of(own.id()), 4);
            }
            return true;
        }
        if (effect instanceof EntryEffect.RecordOutcome outcome) {
            if (endedByFaultAt(simulation, Step.OUTCOME_RECORDED)) {
                return true;
            }
            record(outcome.request());
            return true;
        }
        return false;
    }

    private String key(RequestId id) {
        return simulation.log.caller(id).request.key().orElseThrow();
    }

    /** Writes a claim. Without a reply the write is repeated once; then the claim is unavailable and is cleaned up. */
    private void claim(RequestId id, String expected, String upstreamId, long upstreamIncarnation) {
        RequestSpec request = simulation.log.caller(id).request;
        FakeStore.Claim claim = new FakeStore.Claim(
                simulation.store.newClaimId(),
                id,
                request.fingerprint(),
                upstreamId,
                upstreamIncarnation,
                Optional.empty());
        claimCalls.merge(id, 1L, Long::sum);
        attempt(claim, expected, claimCalls.get(id), 1);
    }

    private void attempt(FakeStore.Claim claim, String expected, long call, int number) {
        RequestId id = claim.request();
        simulation.store.swap(this, key(id), expected, Optional.of(claim), current -> {
            if (claimCalls.getOrDefault(id, 0L) == call) {
                claimCalls.merge(id, 1L, Long::sum);
                answered(claim, current);
            }
        });
        simulation.after(STORE_TIMEOUT_MILLIS, this, () -> {
            if (claimCalls.getOrDefault(id, 0L) != call) {
                return;
            }
            if (number < 2) {
                attempt(claim, expected, call, number + 1);
                return;
            }
            claimCalls.merge(id, 1L, Long::sum);
            Set<String> ids = new HashSet<>(Set.of(claim.id()));
            Optional.ofNullable(ownClaims.remove(id)).ifPresent(own -> ids.add(own.id()));
            simulation.store.cleanUp(this, key(id), ids, 40);
            handle(new EntryEvent.ClaimAnswered(id, new ClaimResult.Unavailable()));
        });
    }

    private void answered(FakeStore.Claim own, Optional<FakeStore.Claim> current) {
        if (endedByFaultAt(simulation, Step.CLAIM_ANSWERED)) {
            return;
        }
        if (frozen()) {
            runOrDefer(() -> answered(own, current));
            return;
        }
        ClaimResult answer;
        if (current.isEmpty()) {
            answer = new ClaimResult.Unavailable();
        } else if (current.get().id().equals(own.id())) {
            ownClaims.put(own.request(), own);
            answer = new ClaimResult.Granted();
        } else if (current.get().fingerprint() != own.fingerprint()) {
            answer = new ClaimResult.ContentMismatch();
        } else if (current.get().outcome().isPresent()) {
            stored.put(own.request(), current.get().outcome().get());
            answer = new ClaimResult.OutcomeStored();
        } else {
            FakeStore.Claim other = current.get();
            answer = new ClaimResult.HeldByOther(
                    other.id(), other.request(), other.upstreamId(), other.upstreamIncarnation());
        }
        boolean late = !requests.containsKey(own.request()) && answer instanceof ClaimResult.Granted;
        if (late) {
            ownClaims.remove(own.request());
            simulation.store.cleanUp(this, key(own.request()), Set.of(own.id()), 4);
        }
        handle(new EntryEvent.ClaimAnswered(own.request(), answer));
    }

    private void record(RequestId id) {
        FakeStore.Claim own = ownClaims.get(id);
        if (own == null) {
            return;
        }
        String answer = FakeUpstream.answerOf(own.fingerprint());
        FakeStore.Claim done = new FakeStore.Claim(
                own.id(), id, own.fingerprint(), own.upstreamId(), own.upstreamIncarnation(), Optional.of(answer));
        simulation.store.swap(this, key(id), own.id(), Optional.of(done), ignored -> {});
    }

    private void deliver(EntryEffect effect) {
        if (effect instanceof EntryEffect.DeliverOutput output) {
            simulation.log.caller(output.request()).output.append(currentText.substring(output.skipBytes()));
        } else if (effect instanceof EntryEffect.DeliverEnd end) {
            answer(end.request()).ended = true;
        } else if (effect instanceof EntryEffect.DeliverStored delivered) {
            EventLog.CallerResult caller = answer(delivered.request());
            caller.output.append(stored.remove(delivered.request()));
            caller.ended = true;
        } else if (effect instanceof EntryEffect.DeliverFailure failure) {
            EventLog.CallerResult caller = answer(failure.request());
            caller.failure = Optional.of(failure.failure());
            simulation.log.refused(id(), caller.request, failure.failure());
        } else if (effect instanceof EntryEffect.ReleaseRequest release) {
            requests.remove(release.request());
            connected.remove(release.request());
            simulation.log.dequeued(id(), release.request());
        }
    }

    private EventLog.CallerResult answer(RequestId id) {
        EventLog.CallerResult caller = simulation.log.caller(id);
        caller.answers++;
        caller.answeredAtMillis = simulation.now();
        return caller;
    }

    /** Shuts down gracefully: refuses new requests and ends once all accepted ones are answered. */
    void shutDown() {
        if (endedByFaultAt(simulation, Step.DRAIN_STARTED)) {
            return;
        }
        handle(new EntryEvent.DrainStarted());
        stopWhenIdle();
    }

    private void stopWhenIdle() {
        simulation.after(simulation.tickMillis(), this, () -> {
            if (dispatcher.isIdle()) {
                requests.keySet()
                        .forEach(request -> simulation.log.interruptions.add(new EventLog.Interruption(id(), request)));
                kill();
            } else {
                stopWhenIdle();
            }
        });
    }

    int inFlight() {
        return dispatcher.pendingCount();
    }
}
