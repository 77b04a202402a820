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

/** Simulated agent: the production agent dispatcher with fake adapters for links and the upstream. */
final class AgentNode extends Node {
    static final String TARGET = "model";
    private static final EngineSpeed SPEED = new EngineSpeed(10_000, 100);
    /** Time after which an agent drops a disconnected reader; such a reader is not interrupted by the shutdown. */
    private static final long DETACHED_MILLIS = AgentLimits.defaults().detachedLimitMillis();

    private static final int SLOTS = 2;
    private static final int QUEUED = 2;

    final FakeUpstream upstream;
    private final Simulation simulation;
    private final Mutation mutation;
    private final Map<Long, Network.Link> links = new HashMap<>();
    private final Map<RequestId, RequestSpec> requests = new HashMap<>();
    private final Map<RequestId, StringBuilder> outputs = new HashMap<>();
    private AgentDispatcher dispatcher;

    AgentNode(Simulation simulation, String id, Mutation mutation) {
        super(id);
        this.simulation = simulation;
        this.mutation = mutation;
        this.upstream = new FakeUpstream(simulation, this);
        onStarted();
    }

    @Override
    long incarnation() {
        return mutation == Mutation.RESTART_KEEPS_INCARNATION ? 1 : super.incarnation();
    }

    @Override
    void onKilled() {
        simulation.network.cutAll(this);
        links.clear();
        requests.clear();
        outputs.clear();
        simulation.log.cleared(id());
    }

    @Override
    void onStarted() {
        EngineQueue queue = mutation == Mutation.QUEUE_WITHOUT_TIERS
                ? FifoEngineQueue.create(SLOTS, SPEED, QUEUED)
                : PriorityEngineQueue.create(
                        new EngineLimits(SLOTS, 100_000, 0, QUEUED), SPEED, WorkspaceWeights.equal());
        dispatcher = AgentDispatcher.create(incarnation(), queue, AgentLimits.defaults());
        tick();
    }

    private void tick() {
        simulation.after(simulation.tickMillis(), this, () -> {
            handle(new AgentEvent.Tick());
            tick();
        });
    }

    UpstreamDescription description(long linkIncarnation) {
        return new UpstreamDescription(id(), linkIncarnation, TARGET, "v1", "d" + id(), SLOTS, SPEED);
    }

    /** Shuts down gracefully: notifies the entries and ends once no request is left. */
    void shutDown() {
        if (endedByFaultAt(simulation, Step.DRAIN_STARTED)) {
            return;
        }
        simulation.log.departures.add(new EventLog.Departure(id(), simulation.now()));
        if (mutation != Mutation.SILENT_DEPARTURE) {
            handle(new AgentEvent.DrainStarted());
            simulation
                    .network
                    .linksOf(this)
                    .forEach(link -> simulation.network.toEntry(
                            link, () -> link.entry.handle(new EntryEvent.UpstreamLeaving(id()))));
        }
        stopWhenIdle();
    }

    private void stopWhenIdle() {
        simulation.after(simulation.tickMillis(), this, () -> {
            boolean ends = dispatcher.isIdle() && mutation != Mutation.SILENT_DEPARTURE;
            if (ends || mutation == Mutation.HASTY_SHUTDOWN) {
                upstream.running()
                        .forEach(request -> simulation.log.interruptions.add(new EventLog.Interruption(id(), request)));
                upstream.completed().stream()
                        .filter(request -> !simulation.log.caller(request).answered())
                        .filter(request -> !simulation.network.disconnectedFor(entryOf(request), this, DETACHED_MILLIS))
                        .forEach(request -> simulation.log.interruptions.add(new EventLog.Interruption(id(), request)));
                kill();
            } else {
                stopWhenIdle();
            }
        });
    }

    private static String entryOf(RequestId request) {
        return request.value().substring(0, request.value().indexOf('-'));
    }

    void linkLost(Network.Link link) {
        handle(new AgentEvent.LinkLost(link.id));
    }

    /** Handles a dispatch or, if {@code attachTo} is present, an attach. */
    void dispatched(AgentEvent.DispatchArrived arrived, Network.Link link) {
        if (endedByFaultAt(simulation, Step.DISPATCH_ARRIVED)) {
            return;
        }
        if (frozen()) {
            runOrDefer(() -> dispatched(arrived, link));
            return;
        }
        links.put(link.id, link);
        RequestSpec request = arrived.request();
        requests.putIfAbsent(request.id(), request);
        if (mutation == Mutation.NO_SINGLE_SUBMIT && dispatcher.containsRun(request.id())) {
            upstream.submit(request);
        }
        simulation.log.arrivals.add(new EventLog.Arrival(request.id(), id(), simulation.now()));
        boolean isNew = arrived.attachTo().isEmpty() && !dispatcher.containsRun(request.id());
        if (isNew) {
            simulation.log.enqueued(id(), request);
        }
        handle(arrived);
        if (isNew && !dispatcher.containsRun(request.id())) {
            simulation.log.dequeued(id(), request.id());
        }
    }

    void reattached(AgentEvent.ReattachArrived arrived, Network.Link link) {
        links.put(link.id, link);
        handle(arrived);
    }

    void produced(RequestId run, String text) {
        if (frozen()) {
            runOrDefer(() -> produced(run, text));
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
            runOrDefer(() -> handle(event));
        }
    }

    void handle(AgentEvent event) {
        if (!alive()) {
            return;
        }
        long startsBefore = starts();
        List<AgentEffect> effects = dispatcher.handle(event, simulation.now());
        for (AgentEffect effect : effects) {
            if (alive() && starts() == startsBefore) {
                execute(effect);
            }
        }
    }

    private void execute(AgentEffect effect) {
        if (effect instanceof AgentEffect.SubmitToUpstream submit) {
            if (endedByFaultAt(simulation, Step.SUBMITTED)) {
                return;
            }
            outputs.put(submit.run(), new StringBuilder());
            simulation.log.dequeued(id(), submit.run());
            upstream.submit(requests.get(submit.run()));
        } else if (effect instanceof AgentEffect.CancelInUpstream cancel) {
            upstream.cancel(cancel.run());
        } else if (effect instanceof AgentEffect.SendAccepted send) {
            toEntry(send.link(), new EntryEvent.Accepted(send.request(), send.dispatch()), "");
        } else if (effect instanceof AgentEffect.SendNotRun send) {
            simulation.log.refused(id(), requests.get(send.request()), send.failure());
            toEntry(send.link(), new EntryEvent.NotRun(send.request(), send.dispatch(), send.failure()), "");
        } else if (effect instanceof AgentEffect.SendNeverReceived send) {
            toEntry(send.link(), new EntryEvent.NeverReceived(send.request(), send.dispatch()), "");
        } else if (effect instanceof AgentEffect.SendOutput send) {
            sendOutput(send);
        } else if (effect instanceof AgentEffect.SendFinished send) {
            if (endedByFaultAt(simulation, Step.FINISHED_SENT)) {
                return;
            }
            toEntry(send.link(), new EntryEvent.Finished(send.request(), send.dispatch(), send.totalBytes()), "");
        } else if (effect instanceof AgentEffect.SendFailed send) {
            sendFailed(send);
        } else if (effect instanceof AgentEffect.ReleaseRun release) {
            outputs.remove(release.run());
            simulation.log.dequeued(id(), release.run());
        }
    }

    private void sendOutput(AgentEffect.SendOutput send) {
        if (endedByFaultAt(simulation, Step.OUTPUT_SENT)) {
            return;
        }
        String text = outputs.get(send.run()).substring((int) send.fromBytes(), (int) send.toBytes());
        if (mutation == Mutation.FOREIGN_OUTPUT) {
            text = text.replace('0', '1');
        }
        toEntry(
                send.link(),
                new EntryEvent.OutputArrived(send.request(), send.dispatch(), send.fromBytes(), text.length()),
                text);
    }

    private void sendFailed(AgentEffect.SendFailed send) {
        EntryEvent event = mutation == Mutation.FALSE_NOT_RUN
                ? new EntryEvent.NotRun(
                        send.request(),
                        send.dispatch(),
                        Failure.of(ErrorKind.SHUTTING_DOWN, "the run failed but is reported as not run"))
                : new EntryEvent.Failed(send.request(), send.dispatch(), send.failure());
        toEntry(send.link(), event, "");
    }

    private void toEntry(long linkId, EntryEvent event, String text) {
        Optional.ofNullable(links.get(linkId))
                .ifPresent(link -> simulation.network.toEntry(link, () -> link.entry.fromAgent(event, text)));
    }
}
