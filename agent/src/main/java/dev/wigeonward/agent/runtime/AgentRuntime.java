package dev.wigeonward.agent.runtime;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.ObjLongConsumer;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import dev.wigeonward.agent.control.AgentControlPlane;
import dev.wigeonward.agent.link.DispatchAssembler;
import dev.wigeonward.agent.link.EntryFrameCodec;
import dev.wigeonward.agent.upstream.UpstreamClient;
import dev.wigeonward.common.http.AdminServer;
import dev.wigeonward.common.ring.QueueWorker;
import dev.wigeonward.core.dispatch.AgentDispatcher;
import dev.wigeonward.core.dispatch.AgentEffect;
import dev.wigeonward.core.dispatch.AgentEvent;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.DispatchId;
import dev.wigeonward.core.request.EngineSpeed;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.exchange.FrameSender;
import dev.wigeonward.wire.Link;
import dev.wigeonward.wire.LinkListener;
import dev.wigeonward.wire.LinkTransport;
import dev.wigeonward.wire.generated.Dispatch;
import dev.wigeonward.wire.generated.Frame;
import dev.wigeonward.wire.generated.Hello;
import dev.wigeonward.wire.generated.Leaving;
import dev.wigeonward.wire.generated.Load;
import dev.wigeonward.wire.generated.ResponseHead;
import dev.wigeonward.wire.generated.UpstreamInfo;

/** Runs the dispatcher and the control plane of an agent on the decision thread and carries out their effects. */
public final class AgentRuntime implements LinkListener, FrameSender, AutoCloseable {
    private static final Logger LOG = System.getLogger(AgentRuntime.class.getName());
    private static final int RING_CAPACITY = 65_536;
    private static final long TICK_MILLIS = 20;
    private static final long PROBE_PERIOD_MILLIS = 250;
    private static final long LOAD_PERIOD_MILLIS = 500;
    /** Number of versions that an engine can have loaded at once: during a rollout, the old and the new one. */
    private static final int VERSION_PLACES = 2;

    private static final int MAX_PART_BYTES = 64 * 1024;
    /** Maximum body size, equal to the highest body limit that the rules allow. */
    private static final int MAX_BODY_BYTES = 64 << 20;

    private final AgentDispatcher dispatcher;
    private final UpstreamClient upstream;
    private final Clock clock;
    private final MetricRegistry metrics = new MetricRegistry();
    private final Hello hello;
    private final AgentControlPlane control;
    private final LinkTransport transport;
    private final UpstreamHealth health = new UpstreamHealth();
    private final UnsentCacheEvents unsentCacheEvents = new UnsentCacheEvents();
    private final DispatchAssembler assembler = new DispatchAssembler(MAX_BODY_BYTES);
    private final Map<Long, Link> links = new HashMap<>();
    private final Map<RequestId, RunRecord> runs = new HashMap<>();
    private final QueueWorker<AgentInput> worker;
    private final Map<String, Link> linksByPeer = new HashMap<>();
    /** Heartbeat of regular sends; written by the decision thread, read by the thread of the links. */
    private volatile Frame heartbeat;

    private Load load = Load.newBuilder().setUpstreamAlive(true).build();
    private long nextProbeMillis;
    private long nextLoadMillis;
    private boolean probing;
    private long drainLimitMillis;
    private CompletableFuture<Void> drainResult;

    private AgentRuntime(AgentRuntimeComponents components, Function<AgentRuntime, AgentControlPlane> control) {
        this.dispatcher = components.dispatcher();
        this.upstream = components.upstream();
        this.clock = components.clock();
        this.hello = components.hello();
        this.control = control.apply(this);
        this.heartbeat = this.control.heartbeat(load);
        this.transport = new LinkTransport(
                components.linkSettings(), this, components::hello, () -> heartbeat, Optional.empty());
        this.worker = QueueWorker.start("decisions", RING_CAPACITY, this::accept, this::tick, TICK_MILLIS);
    }

    /** Starts the decision thread of an agent. */
    public static AgentRuntime start(
            AgentRuntimeComponents components, Function<AgentRuntime, AgentControlPlane> control) {
        return new AgentRuntime(components, control);
    }

    /** Cancels the runs that an earlier incarnation left in the upstream, then starts to accept links. */
    public InetSocketAddress listen(InetSocketAddress address) {
        upstream.cancelAll();
        return transport.listen(address);
    }

    @Override
    public void onUp(Link link) {
        worker.put(new AgentInput.LinkOpened(link));
    }

    @Override
    public void onFrame(Link link, Frame frame) {
        worker.put(new AgentInput.FrameArrived(link, frame));
    }

    @Override
    public void onDown(Link link, String reason) {
        worker.put(new AgentInput.LinkClosed(link, reason));
    }

    @Override
    public void onConnectFailed(String address, String reason) {
        LOG.log(Level.WARNING, "link from {0} was not established: {1}", address, reason);
    }

    /** Runs a task on the decision thread. */
    public void execute(Runnable task) {
        worker.put(new AgentInput.Query(task));
    }

    /** Evaluates a supplier on the decision thread and returns its result. */
    public <T> CompletionStage<T> query(Supplier<T> supplier) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        worker.put(new AgentInput.Query(() -> answer.complete(supplier.get())));
        return answer;
    }

    /**
     * Announces to all entries that this upstream leaves; the returned stage completes once all requests have ended.
     */
    public CompletionStage<Void> drain(long limitMillis) {
        CompletableFuture<Void> drained = new CompletableFuture<>();
        worker.put(new AgentInput.Query(() -> {
            handle(new AgentEvent.DrainStarted());
            drainLimitMillis = limitMillis;
            links.values().forEach(link -> link.send(leavingFrame()));
            drainResult = drained;
        }));
        return drained;
    }

    /** Returns the state of the control plane for the status page. Call through {@link #query}. */
    public Map<String, Object> status() {
        return control.status();
    }

    /** Returns the content of the health page: ready, or the reason why not. Call through {@link #query}. */
    public Object health() {
        if (dispatcher.isDraining()) {
            return new AdminServer.Unhealthy("the agent is shutting down");
        }
        return dispatcher.isUpstreamAlive()
                ? Map.of("ready", true)
                : new AdminServer.Unhealthy("the upstream does not answer");
    }

    /** Returns the full state for the dump page. Call through {@link #query}. */
    public Map<String, Object> dump() {
        Map<String, Object> dump = new HashMap<>(control.status());
        dump.put("upstream", hello.getUpstream().getUpstreamId());
        dump.put("target", hello.getUpstream().getTarget());
        dump.put("upstream_alive", dispatcher.isUpstreamAlive());
        dump.put("draining", dispatcher.isDraining());
        dump.put("queued", dispatcher.queue().queued());
        dump.put("running", dispatcher.queue().running());
        dump.put("backlog_millis", dispatcher.queue().backlogMillis(clock.millis()));
        dump.put("kept_runs", dispatcher.runCount());
        dump.put("links", List.copyOf(linksByPeer.keySet()));
        dump.put("ring_size", worker.size());
        return dump;
    }

    /** Returns the registry, to which other components add their metrics. */
    public MetricRegistry metrics() {
        return metrics;
    }

    private void accept(AgentInput input) {
        if (input instanceof AgentInput.FrameArrived arrived) {
            handleFrame(arrived.link(), arrived.frame());
        } else if (input instanceof AgentInput.OutputArrived output) {
            Optional.ofNullable(runs.get(output.run()))
                    .filter(run -> run.append(output.data(), clock.millis()))
                    .ifPresent(this::reportAnswering);
            handle(new AgentEvent.UpstreamOutput(output.run(), output.data().length));
        } else if (input instanceof AgentInput.HeadArrived arrived) {
            Optional.ofNullable(runs.get(arrived.run()))
                    .ifPresent(run -> run.head = EntryFrameCodec.head(arrived.status(), arrived.headers()));
        } else if (input instanceof AgentInput.Finished finished) {
            observe(finished.run(), (run, nowMillis) -> run.observation.answered(run.head.getStatus(), nowMillis));
            Optional.ofNullable(runs.get(finished.run()))
                    .filter(RunRecord::markAnswering)
                    .ifPresent(this::reportAnswering);
            handle(new AgentEvent.UpstreamFinished(finished.run()));
        } else if (input instanceof AgentInput.Failed failed) {
            observe(failed.run(), (run, nowMillis) -> {
                if (failed.notSent()) {
                    run.observation.cancelled(nowMillis);
                } else {
                    run.observation.failed(nowMillis);
                }
            });
            handle(
                    failed.notSent()
                            ? new AgentEvent.UpstreamUnreachable(failed.run(), failed.failure())
                            : new AgentEvent.UpstreamFailed(failed.run(), failed.failure()));
        } else if (input instanceof AgentInput.LinkOpened opened) {
            linkOpened(opened.link());
        } else if (input instanceof AgentInput.LinkClosed closed) {
            linkClosed(closed.link(), closed.reason());
        } else if (input instanceof AgentInput.Probed probed) {
            onProbe(probed.result());
        } else if (input instanceof AgentInput.CacheChanged changed) {
            unsentCacheEvents.add(changed.events());
        } else if (input instanceof AgentInput.Query query) {
            query.task().run();
        }
    }

    private void linkOpened(Link link) {
        String peer = link.peerHello().getNodeId();
        links.put(link.id(), link);
        linksByPeer.put(peer, link);
        LOG.log(Level.INFO, "link from entry {0} is up", peer);
        control.onLinkUp(peer, clock.millis());
        if (dispatcher.isDraining()) {
            link.send(leavingFrame());
        }
    }

    private void linkClosed(Link link, String reason) {
        String peer = link.peerHello().getNodeId();
        links.remove(link.id());
        LOG.log(Level.WARNING, "link from entry {0} is down: {1}", peer, reason);
        if (linksByPeer.remove(peer, link)) {
            control.onLinkDown(peer, clock.millis());
        }
        assembler.onLinkLost(link.id());
        handle(new AgentEvent.LinkLost(link.id()));
    }

    private Frame leavingFrame() {
        return Frame.newBuilder()
                .setLeaving(Leaving.newBuilder().setTimeLeftMillis(drainLimitMillis))
                .build();
    }

    private void onProbe(UpstreamClient.ProbeResult result) {
        probing = false;
        if (result instanceof UpstreamClient.ProbeResult.Alive alive) {
            control.onVersionsReported(alive.versions());
        }
        health.onProbe(result).ifPresent(this::healthChanged);
    }

    private EngineSpeed speed() {
        UpstreamInfo info = hello.getUpstream();
        return new EngineSpeed(info.getPrefillTokensPerSecond(), info.getDecodeTokensPerSecond());
    }

    private void healthChanged(AgentEvent event) {
        LOG.log(Level.WARNING, "upstream {0}: {1}", hello.getUpstream().getUpstreamId(), event);
        handle(event);
        publishLoad();
    }

    private void handleFrame(Link link, Frame frame) {
        try {
            control.onFrame(link.peerHello().getNodeId(), frame, clock.millis());
            handleRequestFrame(link, frame);
        } catch (IllegalArgumentException e) {
            LOG.log(
                    Level.WARNING,
                    "entry {0} sent a malformed frame: {1}",
                    link.peerHello().getNodeId(),
                    e.getMessage());
            link.close();
        }
    }

    private void handleRequestFrame(Link link, Frame frame) {
        switch (frame.getBodyCase()) {
            case DISPATCH ->
                assembler.addDispatch(link.id(), frame.getDispatch()).ifPresent(complete -> dispatch(link, complete));
            case BODY_PART ->
                assembler.addPart(link.id(), frame.getBodyPart()).ifPresent(complete -> dispatch(link, complete));
            case REATTACH -> {
                assembler.drop(frame.getReattach().getRequestId());
                handle(EntryFrameCodec.reattach(link.id(), frame.getReattach()));
            }
            case ACKNOWLEDGE ->
                handle(new AgentEvent.AcknowledgeArrived(
                        new RequestId(frame.getAcknowledge().getRequestId()),
                        frame.getAcknowledge().getOffset()));
            case CANCEL ->
                handle(new AgentEvent.CancelArrived(
                        new RequestId(frame.getCancel().getRequestId())));
            default -> LOG.log(Level.DEBUG, "ignoring frame of type {0}", frame.getBodyCase());
        }
    }

    private void dispatch(Link link, Dispatch dispatch) {
        AgentEvent.DispatchArrived event;
        try {
            event = EntryFrameCodec.dispatch(link.id(), dispatch, clock.millis());
        } catch (IllegalArgumentException e) {
            LOG.log(
                    Level.WARNING,
                    "entry {0} sent a malformed dispatch: {1}",
                    link.peerHello().getNodeId(),
                    e.getMessage());
            if (!dispatch.getRequestId().isEmpty() && !dispatch.getDispatchId().isEmpty()) {
                link.send(EntryFrameCodec.notRun(
                        new RequestId(dispatch.getRequestId()),
                        new DispatchId(dispatch.getDispatchId()),
                        Failure.of(ErrorKind.MALFORMED_REQUEST, String.valueOf(e.getMessage()))));
            }
            return;
        }
        String version = dispatch.getVersion();
        if (!dispatch.getAttachOnly() && control.isBad(dispatch.getTarget(), version)) {
            link.send(EntryFrameCodec.notRun(
                    event.request().id(),
                    event.dispatch(),
                    Failure.of(ErrorKind.NO_UPSTREAM, "version " + version + " was rolled back")));
            return;
        }
        runs.computeIfAbsent(
                event.request().id(),
                id -> new RunRecord(EntryFrameCodec.upstreamRequest(dispatch), event.request(), version));
        handle(event);
        // A request that was refused or attached to another run does not need its own record.
        if (!dispatcher.containsRun(event.request().id())) {
            runs.remove(event.request().id());
        }
    }

    private void tick() {
        long nowMillis = clock.millis();
        control.onTick(nowMillis);
        handle(new AgentEvent.Tick());
        if (!probing && nowMillis >= nextProbeMillis) {
            probing = true;
            nextProbeMillis = nowMillis + PROBE_PERIOD_MILLIS;
            upstream.probe(result -> worker.put(new AgentInput.Probed(result)));
        }
        if (nowMillis >= nextLoadMillis) {
            nextLoadMillis = nowMillis + LOAD_PERIOD_MILLIS;
            publishLoad();
            upstream.fetchCacheEvents(
                    unsentCacheEvents.lastSequence(), events -> worker.put(new AgentInput.CacheChanged(events)));
        }
        if (drainResult != null && dispatcher.isIdle()) {
            drainResult.complete(null);
        }
    }

    /** Sends a changed load or new cache events at once; an unchanged load is repeated by the regular heartbeats. */
    private void publishLoad() {
        load = Load.newBuilder()
                .setBacklogMillis(dispatcher.queue().backlogMillis(clock.millis()))
                .setRunning(dispatcher.queue().running())
                .setQueued(dispatcher.queue().queued())
                .setUpstreamAlive(dispatcher.isUpstreamAlive())
                .addAllLoadedVersions(control.versions())
                .setVersionPlaces(VERSION_PLACES)
                .build();
        Frame next = control.heartbeat(load);
        if (next.equals(heartbeat) && unsentCacheEvents.isEmpty()) {
            return;
        }
        heartbeat = next;
        // Regular heartbeats do not contain the cache events, so each event is sent once.
        Frame first = control.heartbeat(unsentCacheEvents.moveTo(load.toBuilder()));
        links.values().forEach(link -> link.send(first));
    }

    private void handle(AgentEvent event) {
        dispatcher.handle(event, clock.millis()).forEach(this::apply);
    }

    private void apply(AgentEffect effect) {
        if (effect instanceof AgentEffect.SubmitToUpstream submit) {
            RunRecord run = runs.get(submit.run());
            metrics.counter("submitted").inc();
            double load =
                    (double) dispatcher.queue().running() / hello.getUpstream().getSlots();
            long serviceMillis = run.spec.work().serviceMillis(speed());
            run.observation = control.startObservation(run.spec, run.version, load, serviceMillis, clock.millis());
            upstream.submit(
                    run.request,
                    new UpstreamForwarder(submit.run(), worker, () -> clock.millis() < run.spec.deadlineMillis()));
        } else if (effect instanceof AgentEffect.CancelInUpstream cancel) {
            metrics.counter("cancelled").inc();
            observe(cancel.run(), (run, nowMillis) -> run.observation.cancelled(nowMillis));
            upstream.cancel(cancel.run());
        } else if (effect instanceof AgentEffect.SendAccepted send) {
            send(send.link(), EntryFrameCodec.accepted(send));
        } else if (effect instanceof AgentEffect.SendNotRun send) {
            metrics.counter("not_run." + send.failure().kind().wireName()).inc();
            send(send.link(), EntryFrameCodec.notRun(send.request(), send.dispatch(), send.failure()));
        } else if (effect instanceof AgentEffect.SendNeverReceived send) {
            send(send.link(), EntryFrameCodec.unseen(send));
        } else if (effect instanceof AgentEffect.SendOutput send) {
            sendOutput(send);
        } else if (effect instanceof AgentEffect.SendFinished send) {
            metrics.counter("finished").inc();
            RunRecord run = runs.get(send.run());
            send(send.link(), EntryFrameCodec.finished(send, run.head, UsageParser.parse(run.output.tail())));
        } else if (effect instanceof AgentEffect.SendFailed send) {
            metrics.counter("failed." + send.failure().kind().wireName()).inc();
            send(send.link(), EntryFrameCodec.failed(send));
        } else if (effect instanceof AgentEffect.TrimOutput trim) {
            runs.get(trim.run()).output.trim(trim.uptoBytes());
        } else if (effect instanceof AgentEffect.ReleaseRun release) {
            runs.remove(release.run());
        } else if (effect instanceof AgentEffect.ReportSuspects report) {
            report.requests().forEach(this::suspect);
        }
    }

    private void suspect(RequestSpec request) {
        LOG.log(Level.WARNING, "request {0} was running when the upstream died", request.id());
        control.publishSuspect(request, health.instance(), clock.millis());
        Optional.ofNullable(runs.get(request.id()))
                .filter(run -> !run.answering())
                .ifPresent(run -> control.publishCrash(request, run.version, health.instance(), clock.millis()));
        observe(request.id(), (run, nowMillis) -> run.observation.failed(nowMillis));
    }

    private void reportAnswering(RunRecord run) {
        control.onAnswering(run.spec, run.version, run.answerBeganAtMillis(), clock.millis());
    }

    /** Records how a submitted run ended, as evidence on its version. */
    private void observe(RequestId id, ObjLongConsumer<RunRecord> observer) {
        Optional.ofNullable(runs.get(id))
                .filter(run -> run.observation != null)
                .ifPresent(run -> observer.accept(run, clock.millis()));
    }

    private void sendOutput(AgentEffect.SendOutput send) {
        RunRecord run = runs.get(send.run());
        long fromBytes = send.fromBytes();
        while (fromBytes < send.toBytes()) {
            long toBytes = Math.min(send.toBytes(), fromBytes + MAX_PART_BYTES);
            Optional<ResponseHead> head = fromBytes == 0 ? Optional.of(run.head) : Optional.empty();
            send(
                    send.link(),
                    EntryFrameCodec.output(
                            send.request(), send.dispatch(), fromBytes, run.output.slice(fromBytes, toBytes), head));
            fromBytes = toBytes;
        }
    }

    private void send(long linkNumber, Frame frame) {
        Optional.ofNullable(links.get(linkNumber)).ifPresent(link -> link.send(frame));
    }

    @Override
    public void send(String peer, Frame frame) {
        Optional.ofNullable(linksByPeer.get(peer)).ifPresent(link -> link.send(frame));
    }

    @Override
    public void sendToOthers(String exceptPeer, Frame frame) {
        linksByPeer.forEach((peer, link) -> {
            if (!peer.equals(exceptPeer)) {
                link.send(frame);
            }
        });
    }

    @Override
    public void close() {
        transport.close();
        upstream.close();
        worker.close();
    }
}
