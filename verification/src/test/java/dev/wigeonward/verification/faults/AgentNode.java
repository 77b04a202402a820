package dev.wigeonward.verification.faults;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import dev.wigeonward.core.admission.WorkspaceWeights;
import dev.wigeonward.core.dispatch.AgentDispatcher;
import dev.wigeonward.core.dispatch.AgentEffect;
import dev.wigeonward.core.dispatch.AgentEvent;
import dev.wigeonward.core.dispatch.AgentLimits;
import dev.wigeonward.core.dispatch.EntryEvent;
import dev.wigeonward.core.engine.EngineLimits;
import dev.wigeonward.core.engine.EngineQueue;
import dev.wigeonward.core.engine.FifoEngineQueue;
import dev.wigeonward.core.engine.PriorityEngineQueue;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.placement.UpstreamDescription;
import dev.wigeonward.core.request.EngineSpeed;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;

/** The real agent dispatcher with the adapters of one agent. */
final class AgentNode extends Node {
    static final String TARGET = "model";
    private static final EngineSpeed SPEED = new EngineSpeed(10_000, 100);
    /** An agent gives up a reader whose link has been lost for so long; that is no interruption by the shutdown. */
    private static final long DETACHED_MILLIS = AgentLimits.defaults().detachedLimitMillis();

    private static final int SLOTS = 2;
    private static final int QUEUED = 2;

    final FakeUpstream upstream;
    private final World world;
    private final Guards guards;
    private final Map<Long, Network.Link> links = new HashMap<>();
    private final Map<RequestId, RequestSpec> requests = new HashMap<>();
    private final Map<RequestId, StringBuilder> outputs = new HashMap<>();
    private AgentDispatcher dispatcher;

    AgentNode(World world, String id, Guards guards) {
        super(id);
        this.world = world;
        this.guards = guards;
        this.upstream = new FakeUpstream(world, this);
        started();
    }

    @Override
    long incarnation() {
        return guards == Guards.RESTART_KEEPS_INCARNATION ? 1 : super.incarnation();
    }

    @Override
    void lost() {
        world.network.cutAll(this);
        links.clear();
        requests.clear();
        outputs.clear();
        world.ledger.emptied(id());
    }

    @Override
    void started() {
        EngineQueue queue = guards == Guards.QUEUE_WITHOUT_TIERS
                ? FifoEngineQueue.create(SLOTS, SPEED, QUEUED)
                : PriorityEngineQueue.create(
                        new EngineLimits(SLOTS, 100_000, 0, QUEUED), SPEED, WorkspaceWeights.equal());
        dispatcher = AgentDispatcher.create(incarnation(), queue, AgentLimits.defaults());
        tick();
    }

    private void tick() {
        world.after(world.tickMillis(), this, () -> {
            handle(new AgentEvent.Tick());
            tick();
        });
    }

    UpstreamDescription description(long linkIncarnation) {
        return new UpstreamDescription(id(), linkIncarnation, TARGET, "v1", "d" + id(), SLOTS, SPEED);
    }

    /** Graceful shutdown: notice to the entries, then the end once nothing is left. */
    void shutDown() {
        if (endsAt(world, Step.DRAIN_STARTED)) {
            return;
        }
        world.ledger.departures.add(new Ledger.Departure(id(), world.now()));
        if (guards != Guards.SILENT_DEPARTURE) {
            handle(new AgentEvent.DrainStarted());
            world.network
                    .linksOf(this)
                    .forEach(link ->
                            world.network.toEntry(link, () -> link.entry.handle(new EntryEvent.UpstreamLeaving(id()))));
        }
        endWhenIdle();
    }

    private void endWhenIdle() {
        world.after(world.tickMillis(), this, () -> {
            boolean ends = dispatcher.idle() && guards != Guards.SILENT_DEPARTURE;
            if (ends || guards == Guards.HASTY_SHUTDOWN) {
                upstream.running()
                        .forEach(request -> world.ledger.interruptions.add(new Ledger.Interruption(id(), request)));
                upstream.completed().stream()
                        .filter(request -> !world.ledger.caller(request).answered())
                        .filter(request -> !world.network.awayFor(entryOf(request), this, DETACHED_MILLIS))
                        .forEach(request -> world.ledger.interruptions.add(new Ledger.Interruption(id(), request)));
                kill();
            } else {
                endWhenIdle();
            }
        });
    }

    private static String entryOf(RequestId request) {
        return request.value().substring(0, request.value().indexOf('-'));
    }

    void linkLost(Network.Link link) {
        handle(new AgentEvent.LinkLost(link.id));
    }

    /** A dispatch or, if {@code attachTo} is present, an attach arrived. */
    void dispatched(AgentEvent.DispatchArrived arrived, Network.Link link) {
        if (endsAt(world, Step.DISPATCH_ARRIVED)) {
            return;
        }
        if (frozen()) {
            runOrKeep(() -> dispatched(arrived, link));
            return;
        }
        links.put(link.id, link);
        RequestSpec request = arrived.request();
        requests.putIfAbsent(request.id(), request);
        if (guards == Guards.NO_SINGLE_SUBMIT && dispatcher.keeps(request.id())) {
            upstream.submit(request);
        }
        world.ledger.arrivals.add(new Ledger.Arrival(request.id(), id(), world.now()));
        boolean isNew = arrived.attachTo().isEmpty() && !dispatcher.keeps(request.id());
        if (isNew) {
            world.ledger.entered(id(), request);
        }
        handle(arrived);
        if (isNew && !dispatcher.keeps(request.id())) {
            world.ledger.left(id(), request.id());
        }
    }

    void reattached(AgentEvent.ReattachArrived arrived, Network.Link link) {
        links.put(link.id, link);
        handle(arrived);
    }

    void produced(RequestId run, String text) {
        if (frozen()) {
            runOrKeep(() -> produced(run, text));
            return;
        }
        StringBuilder output = outputs.get(run);
        if (output != null) {
            output.append(text);
            handle(new AgentEvent.UpstreamOutput(run, text.length()));
        }
    }

    void fromUpstream(AgentEvent event) {
        if (alive()) {
            runOrKeep(() -> handle(event));
        }
    }

    void handle(AgentEvent event) {
        if (!alive()) {
            return;
        }
        long startsBefore = starts();
        List<AgentEffect> effects = dispatcher.handle(event, world.now());
        for (AgentEffect effect : effects) {
            if (alive() && starts() == startsBefore) {
                carryOut(effect);
            }
        }
    }

    private void carryOut(AgentEffect effect) {
        if (effect instanceof AgentEffect.SubmitToUpstream submit) {
            if (endsAt(world, Step.SUBMITTED)) {
                return;
            }
            outputs.put(submit.run(), new StringBuilder());
            world.ledger.left(id(), submit.run());
            upstream.submit(requests.get(submit.run()));
        } else if (effect instanceof AgentEffect.CancelInUpstream cancel) {
            upstream.cancel(cancel.run());
        } else if (effect instanceof AgentEffect.SendAccepted send) {
            toEntry(send.link(), new EntryEvent.Accepted(send.request(), send.dispatch()), "");
        } else if (effect instanceof AgentEffect.SendNotRun send) {
            world.ledger.refused(id(), requests.get(send.request()), send.failure());
            toEntry(send.link(), new EntryEvent.NotRun(send.request(), send.dispatch(), send.failure()), "");
        } else if (effect instanceof AgentEffect.SendUnseen send) {
            toEntry(send.link(), new EntryEvent.Unseen(send.request(), send.dispatch()), "");
        } else if (effect instanceof AgentEffect.SendOutput send) {
            sendOutput(send);
        } else if (effect instanceof AgentEffect.SendFinished send) {
            if (endsAt(world, Step.FINISHED_SENT)) {
                return;
            }
            toEntry(send.link(), new EntryEvent.Finished(send.request(), send.dispatch(), send.totalBytes()), "");
        } else if (effect instanceof AgentEffect.SendFailed send) {
            sendFailed(send);
        } else if (effect instanceof AgentEffect.ReleaseRun release) {
            outputs.remove(release.run());
            world.ledger.left(id(), release.run());
        }
    }

    private void sendOutput(AgentEffect.SendOutput send) {
        if (endsAt(world, Step.OUTPUT_SENT)) {
            return;
        }
        String text = outputs.get(send.run()).substring((int) send.fromBytes(), (int) send.toBytes());
        if (guards == Guards.FOREIGN_OUTPUT) {
            text = text.replace('0', '1');
        }
        toEntry(
                send.link(),
                new EntryEvent.OutputArrived(send.request(), send.dispatch(), send.fromBytes(), text.length()),
                text);
    }

    private void sendFailed(AgentEffect.SendFailed send) {
        EntryEvent event = guards == Guards.FALSE_NOT_RUN
                ? new EntryEvent.NotRun(
                        send.request(), send.dispatch(), Failure.of(ErrorKind.SHUTTING_DOWN, "said without proof"))
                : new EntryEvent.Failed(send.request(), send.dispatch(), send.failure());
        toEntry(send.link(), event, "");
    }

    private void toEntry(long linkId, EntryEvent event, String text) {
        Optional.ofNullable(links.get(linkId))
                .ifPresent(link -> world.network.toEntry(link, () -> link.entry.fromAgent(event, text)));
    }
}
