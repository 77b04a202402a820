package dev.wigeonward.verification.faults;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import dev.wigeonward.core.admission.FairShareAdmissionQueue;
import dev.wigeonward.core.admission.WorkspaceWeights;
import dev.wigeonward.core.dispatch.AgentEvent;
import dev.wigeonward.core.dispatch.ClaimAnswer;
import dev.wigeonward.core.dispatch.DispatchLimits;
import dev.wigeonward.core.dispatch.DispatchPolicies;
import dev.wigeonward.core.dispatch.EntryDispatcher;
import dev.wigeonward.core.dispatch.EntryEffect;
import dev.wigeonward.core.dispatch.EntryEvent;
import dev.wigeonward.core.dispatch.RetryPermits;
import dev.wigeonward.core.dispatch.SuspectGate;
import dev.wigeonward.core.dispatch.VersionRouter;
import dev.wigeonward.core.placement.KeyAffinity;
import dev.wigeonward.core.placement.LeastOutstanding;
import dev.wigeonward.core.request.DispatchId;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;

/** The real entry dispatcher with the adapters of one entry. */
final class EntryNode extends Node {
    private static final long STORE_TIMEOUT_MILLIS = 500;

    private final World world;
    private final Map<RequestId, RequestSpec> requests = new HashMap<>();
    private final Set<RequestId> connected = new HashSet<>();
    private final Map<RequestId, FakeStore.Claim> held = new HashMap<>();
    private final Map<RequestId, String> stored = new HashMap<>();
    private final Map<RequestId, Long> claimCalls = new HashMap<>();
    private EntryDispatcher dispatcher;
    private String textInHand = "";
    private long sequence;

    EntryNode(World world, String id) {
        super(id);
        this.world = world;
    }

    void start() {
        started();
    }

    @Override
    void lost() {
        world.network.cutAll(this);
        connected.forEach(request -> {
            Ledger.CallerView caller = world.ledger.caller(request);
            caller.connectionLost |= caller.answers == 0;
        });
        connected.clear();
        requests.clear();
        held.clear();
        stored.clear();
        claimCalls.clear();
        world.ledger.emptied(id());
    }

    @Override
    void started() {
        dispatcher = EntryDispatcher.create(
                new DispatchPolicies(
                        () -> FairShareAdmissionQueue.create(64, WorkspaceWeights.equal()),
                        LeastOutstanding.create(),
                        KeyAffinity.or(LeastOutstanding.create()),
                        VersionRouter.first(),
                        RetryPermits.unlimited(),
                        SuspectGate.open()),
                DispatchLimits.defaults());
        world.agents.forEach(agent -> world.network.open(this, agent));
        tick();
    }

    private void tick() {
        world.after(world.tickMillis(), this, () -> {
            handle(new EntryEvent.Tick());
            tick();
        });
    }

    RequestId nextId() {
        return RequestId.of(id(), incarnation(), ++sequence);
    }

    /** A caller sends a request; on a node that is down it gets no connection. */
    void call(RequestSpec request) {
        Ledger.CallerView caller = new Ledger.CallerView(request);
        world.ledger.callers.put(request.id(), caller);
        if (!alive()) {
            caller.connectionLost = true;
            return;
        }
        connected.add(request.id());
        world.after(0, this, () -> {
            if (!endsAt(world, Step.ARRIVED)) {
                runOrKeep(() -> accept(request));
            }
        });
    }

    private void accept(RequestSpec request) {
        requests.put(request.id(), request);
        world.ledger.entered(id(), request);
        handle(new EntryEvent.RequestArrived(request));
    }

    void linkUp(AgentNode agent, long linkIncarnation) {
        handle(new EntryEvent.LinkUp(agent.description(linkIncarnation)));
    }

    void linkDown(AgentNode agent) {
        handle(new EntryEvent.LinkDown(agent.id()));
    }

    void fromAgent(EntryEvent event, String text) {
        boolean ends = event instanceof EntryEvent.OutputArrived && endsAt(world, Step.OUTPUT_ARRIVED)
                || event instanceof EntryEvent.Finished && endsAt(world, Step.FINISHED_ARRIVED);
        if (ends) {
            return;
        }
        if (frozen()) {
            runOrKeep(() -> fromAgent(event, text));
            return;
        }
        textInHand = text;
        handle(event);
    }

    void handle(EntryEvent event) {
        if (!alive()) {
            return;
        }
        long startsBefore = starts();
        for (EntryEffect effect : dispatcher.handle(event, world.now())) {
            if (alive() && starts() == startsBefore) {
                carryOut(effect);
            }
        }
    }

    private void carryOut(EntryEffect effect) {
        if (effect instanceof EntryEffect.SendDispatch send) {
            if (endsAt(world, Step.DISPATCH_SENT)) {
                return;
            }
            dispatch(send.request(), send.dispatch(), send.upstreamId(), send.upstreamIncarnation(), Optional.empty());
        } else if (effect instanceof EntryEffect.SendAttach send) {
            Network.Link link = world.network.link(this, send.upstreamId());
            long incarnation = link == null ? 0 : link.agentIncarnation;
            dispatch(send.request(), send.dispatch(), send.upstreamId(), incarnation, Optional.of(send.claimedBy()));
        } else if (effect instanceof EntryEffect.SendReattach send) {
            Network.Link link = world.network.link(this, send.upstreamId());
            world.network.toAgent(
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
            if (endsAt(world, Step.ACKNOWLEDGED)) {
                return;
            }
            Network.Link link = world.network.link(this, send.upstreamId());
            world.network.toAgent(
                    link,
                    () -> link.agent.handle(new AgentEvent.AcknowledgeArrived(send.request(), send.offsetBytes())));
        } else if (effect instanceof EntryEffect.SendCancel send) {
            Network.Link link = world.network.link(this, send.upstreamId());
            world.network.toAgent(link, () -> link.agent.handle(new AgentEvent.CancelArrived(send.request())));
        } else if (!carryOutClaim(effect)) {
            deliver(effect);
        }
    }

    private void dispatch(
            RequestId id, DispatchId dispatch, String upstreamId, long incarnation, Optional<RequestId> attachTo) {
        Network.Link link = world.network.link(this, upstreamId);
        RequestSpec request = requests.get(id);
        world.ledger.left(id(), id);
        if (link == null || request == null) {
            return;
        }
        world.lastAgent = link.agent;
        AgentEvent.DispatchArrived event =
                new AgentEvent.DispatchArrived(link.id, request, dispatch, incarnation, attachTo);
        world.network.toAgent(link, () -> link.agent.dispatched(event, link));
    }

    private boolean carryOutClaim(EntryEffect effect) {
        if (effect instanceof EntryEffect.MakeClaim make) {
            if (endsAt(world, Step.CLAIM_SENT)) {
                return true;
            }
            world.ledger.left(id(), make.request());
            FakeStore.Claim own = held.get(make.request());
            claim(make.request(), own == null ? "" : own.id(), make.upstreamId(), make.upstreamIncarnation());
            return true;
        }
        if (effect instanceof EntryEffect.TakeOverClaim take) {
            claim(take.request(), take.previousClaimId(), take.upstreamId(), take.upstreamIncarnation());
            return true;
        }
        if (effect instanceof EntryEffect.ReleaseClaim release) {
            FakeStore.Claim own = held.remove(release.request());
            if (own != null) {
                world.store.cleanUp(this, key(release.request()), Set.of(own.id()), 4);
            }
            return true;
        }
        if (effect instanceof EntryEffect.RecordOutcome outcome) {
            if (endsAt(world, Step.OUTCOME_RECORDED)) {
                return true;
            }
            record(outcome.request());
            return true;
        }
        return false;
    }

    private String key(RequestId id) {
        return world.ledger.caller(id).request.key().orElseThrow();
    }

    /** Writes a claim; without a reply the write is repeated once and then given up and removed in the background. */
    private void claim(RequestId id, String expected, String upstreamId, long upstreamIncarnation) {
        RequestSpec request = world.ledger.caller(id).request;
        FakeStore.Claim claim = new FakeStore.Claim(
                world.store.newClaimId(), id, request.fingerprint(), upstreamId, upstreamIncarnation, Optional.empty());
        claimCalls.merge(id, 1L, Long::sum);
        attempt(claim, expected, claimCalls.get(id), 1);
    }

    private void attempt(FakeStore.Claim claim, String expected, long call, int number) {
        RequestId id = claim.request();
        world.store.swap(this, key(id), expected, Optional.of(claim), current -> {
            if (claimCalls.getOrDefault(id, 0L) == call) {
                claimCalls.merge(id, 1L, Long::sum);
                answered(claim, current);
            }
        });
        world.after(STORE_TIMEOUT_MILLIS, this, () -> {
            if (claimCalls.getOrDefault(id, 0L) != call) {
                return;
            }
            if (number < 2) {
                attempt(claim, expected, call, number + 1);
                return;
            }
            claimCalls.merge(id, 1L, Long::sum);
            Set<String> ids = new HashSet<>(Set.of(claim.id()));
            Optional.ofNullable(held.remove(id)).ifPresent(own -> ids.add(own.id()));
            world.store.cleanUp(this, key(id), ids, 40);
            handle(new EntryEvent.ClaimAnswered(id, new ClaimAnswer.Unavailable()));
        });
    }

    private void answered(FakeStore.Claim own, Optional<FakeStore.Claim> current) {
        if (endsAt(world, Step.CLAIM_ANSWERED)) {
            return;
        }
        if (frozen()) {
            runOrKeep(() -> answered(own, current));
            return;
        }
        ClaimAnswer answer;
        if (current.isEmpty()) {
            answer = new ClaimAnswer.Unavailable();
        } else if (current.get().id().equals(own.id())) {
            held.put(own.request(), own);
            answer = new ClaimAnswer.Granted();
        } else if (current.get().fingerprint() != own.fingerprint()) {
            answer = new ClaimAnswer.OtherContent();
        } else if (current.get().outcome().isPresent()) {
            stored.put(own.request(), current.get().outcome().get());
            answer = new ClaimAnswer.OutcomeStored();
        } else {
            FakeStore.Claim other = current.get();
            answer = new ClaimAnswer.HeldByOther(
                    other.id(), other.request(), other.upstreamId(), other.upstreamIncarnation());
        }
        boolean late = !requests.containsKey(own.request()) && answer instanceof ClaimAnswer.Granted;
        if (late) {
            held.remove(own.request());
            world.store.cleanUp(this, key(own.request()), Set.of(own.id()), 4);
        }
        handle(new EntryEvent.ClaimAnswered(own.request(), answer));
    }

    private void record(RequestId id) {
        FakeStore.Claim own = held.get(id);
        if (own == null) {
            return;
        }
        String answer = FakeUpstream.answerOf(own.fingerprint());
        FakeStore.Claim done = new FakeStore.Claim(
                own.id(), id, own.fingerprint(), own.upstreamId(), own.upstreamIncarnation(), Optional.of(answer));
        world.store.swap(this, key(id), own.id(), Optional.of(done), ignored -> {});
    }

    private void deliver(EntryEffect effect) {
        if (effect instanceof EntryEffect.DeliverOutput output) {
            world.ledger.caller(output.request()).output.append(textInHand.substring(output.skipBytes()));
        } else if (effect instanceof EntryEffect.DeliverEnd end) {
            answer(end.request()).ended = true;
        } else if (effect instanceof EntryEffect.DeliverStored delivered) {
            Ledger.CallerView caller = answer(delivered.request());
            caller.output.append(stored.remove(delivered.request()));
            caller.ended = true;
        } else if (effect instanceof EntryEffect.DeliverFailure failure) {
            Ledger.CallerView caller = answer(failure.request());
            caller.failure = Optional.of(failure.failure());
            world.ledger.refused(id(), caller.request, failure.failure());
        } else if (effect instanceof EntryEffect.Forget forget) {
            requests.remove(forget.request());
            connected.remove(forget.request());
            world.ledger.left(id(), forget.request());
        }
    }

    private Ledger.CallerView answer(RequestId id) {
        Ledger.CallerView caller = world.ledger.caller(id);
        caller.answers++;
        caller.answeredAtMillis = world.now();
        return caller;
    }

    /** Graceful shutdown: no new requests, then the end once all are answered. */
    void shutDown() {
        if (endsAt(world, Step.DRAIN_STARTED)) {
            return;
        }
        handle(new EntryEvent.DrainStarted());
        endWhenIdle();
    }

    private void endWhenIdle() {
        world.after(world.tickMillis(), this, () -> {
            if (dispatcher.idle()) {
                requests.keySet()
                        .forEach(request -> world.ledger.interruptions.add(new Ledger.Interruption(id(), request)));
                kill();
            } else {
                endWhenIdle();
            }
        });
    }

    int inFlight() {
        return dispatcher.inFlight();
    }
}
