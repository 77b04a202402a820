package dev.wigeonward.entry.runtime;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Supplier;

import com.codahale.metrics.Timer;
import dev.wigeonward.common.ring.QueueWorker;
import dev.wigeonward.common.vms.VmSnapshot;
import dev.wigeonward.core.dispatch.EntryDispatcher;
import dev.wigeonward.core.dispatch.EntryEffect;
import dev.wigeonward.core.dispatch.EntryEvent;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.placement.PrefixIndex;
import dev.wigeonward.core.placement.UpstreamDescription;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.revision.RevisionStore;
import dev.wigeonward.entry.caller.CallerResponse;
import dev.wigeonward.entry.caller.RequestHandler;
import dev.wigeonward.entry.control.ControlPlane;
import dev.wigeonward.entry.control.ControlPlaneLinks;
import dev.wigeonward.entry.link.AgentFrameCodec;
import dev.wigeonward.entry.link.LinkTable;
import dev.wigeonward.wire.Link;
import dev.wigeonward.wire.LinkListener;
import dev.wigeonward.wire.LinkTransport;
import dev.wigeonward.wire.generated.Frame;
import dev.wigeonward.wire.generated.Heartbeat;

/** Runs the dispatcher and the control plane of an entry on the decision thread and carries out their effects. */
public final class EntryRuntime implements RequestHandler, LinkListener, ControlPlaneLinks, AutoCloseable {
    private static final Logger LOG = System.getLogger(EntryRuntime.class.getName());
    private static final int RING_CAPACITY = 65_536;
    private static final long TICK_MILLIS = 20;

    private final EntryDispatcher dispatcher;
    private final ClaimPort claims;
    private final Clock clock;
    private final EntryMetrics metrics;
    private final PendingAnswers answers;
    private final PrefixIndex prefixes;
    private final LinkTransport transport;
    private final LinkTable links;
    private final ControlPlane control;
    private final QueueWorker<EntryInput> worker;
    /** Heartbeat of regular sends; written by the decision thread, read by the thread of the links. */
    private volatile Frame heartbeat =
            Frame.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()).build();
    /** Frame whose event is being handled. Delivery effects of that event refer to the data in this frame. */
    private Frame currentFrame;

    private volatile boolean shuttingDown;
    private final Set<String> closingWhenIdle = new HashSet<>();
    private CompletableFuture<Void> drainResult;

    private EntryRuntime(EntryRuntimeComponents components, Function<EntryRuntime, ControlPlane> control) {
        this.dispatcher = Objects.requireNonNull(components.dispatcher(), "dispatcher");
        this.claims = Objects.requireNonNull(components.claims(), "claims");
        this.clock = Objects.requireNonNull(components.clock(), "clock");
        this.metrics = Objects.requireNonNull(components.metrics(), "metrics");
        this.answers = new PendingAnswers(metrics, components.usage());
        this.prefixes = components.prefixes();
        this.transport = new LinkTransport(
                components.linkSettings(), this, components::hello, () -> heartbeat, components.linkTls());
        this.links = new LinkTable(transport);
        this.control = control.apply(this);
        this.worker = QueueWorker.start("decisions", RING_CAPACITY, this::accept, this::tick, TICK_MILLIS);
    }

    /** Starts the decision thread of an entry. */
    public static EntryRuntime start(EntryRuntimeComponents components, Function<EntryRuntime, ControlPlane> control) {
        EntryRuntime runtime = new EntryRuntime(components, control);
        runtime.execute(runtime.control::start);
        return runtime;
    }

    @Override
    public boolean submit(CallerResponse response) {
        return worker.offer(new EntryInput.FromCaller(response));
    }

    @Override
    public void onCallerDisconnected(CallerResponse response) {
        worker.put(new EntryInput.Event(
                new EntryEvent.CallerDisconnected(response.request().id())));
    }

    @Override
    public void onRefused(Failure failure) {
        metrics.failed(failure.kind());
    }

    @Override
    public void onUp(Link link) {
        worker.put(new EntryInput.LinkOpened(link));
    }

    @Override
    public void onFrame(Link link, Frame frame) {
        worker.put(new EntryInput.FrameArrived(link, frame));
    }

    @Override
    public void onDown(Link link, String reason) {
        worker.put(new EntryInput.LinkClosed(link, reason));
    }

    @Override
    public void onConnectFailed(String address, String reason) {
        worker.put(new EntryInput.ConnectFailed(address, reason));
    }

    /** Passes a new VM list to the control plane. */
    public void onVmsListed(VmSnapshot snapshot) {
        execute(() -> control.onVmsListed(snapshot, clock.millis()));
    }

    /** Passes the result of a read of the newest stored revision to the control plane. */
    public void onHeadRead(RevisionStore.HeadResult result) {
        execute(() -> control.onHeadRead(result, clock.millis()));
    }

    /** Runs a task on the decision thread. */
    public void execute(Runnable task) {
        worker.put(new EntryInput.Query(task));
    }

    /** Evaluates a supplier on the decision thread and returns its result. */
    public <T> CompletionStage<T> query(Supplier<T> supplier) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        execute(() -> answer.complete(supplier.get()));
        return answer;
    }

    /** Makes the health page fail while new requests are still accepted. */
    public void failHealthCheck() {
        shuttingDown = true;
    }

    /** Starts to refuse new requests; the returned stage completes once all other requests are answered. */
    public CompletionStage<Void> drain() {
        CompletableFuture<Void> drained = new CompletableFuture<>();
        execute(() -> {
            dispatch(new EntryEvent.DrainStarted());
            drainResult = drained;
        });
        return drained;
    }

    /** Returns the state of the control plane for the status page. Call through {@link #query}. */
    public Map<String, Object> status() {
        return control.status();
    }

    /** Returns whether the entry has rules and is not shutting down. Call through {@link #query}. */
    public boolean ready() {
        return control.hasRules() && !shuttingDown;
    }

    /** Returns the full state for the dump page. Call through {@link #query}. */
    public Map<String, Object> dump() {
        List<Map<String, Object>> upstreams = new ArrayList<>();
        links.upstreams().forEach(upstream -> upstreams.add(describe(upstream)));
        Map<String, Object> dump = new HashMap<>(control.status());
        dump.put("requests_in_flight", dispatcher.pendingCount());
        dump.put("queued_by_target", dispatcher.queuedByTarget());
        dump.put("upstreams", upstreams);
        dump.put("ring_size", worker.size());
        return dump;
    }

    private static Map<String, Object> describe(UpstreamDescription upstream) {
        return Map.of(
                "id", upstream.upstreamId(),
                "target", upstream.target(),
                "version", upstream.version(),
                "failure_domain", upstream.failureDomain(),
                "slots", upstream.slots());
    }

    private void accept(EntryInput input) {
        if (input instanceof EntryInput.FromCaller fromCaller) {
            answers.add(fromCaller.response());
            dispatch(new EntryEvent.RequestArrived(fromCaller.response().request()));
        } else if (input instanceof EntryInput.FrameArrived arrived) {
            handleFrame(arrived.link(), arrived.frame());
        } else if (input instanceof EntryInput.LinkOpened opened) {
            linkOpened(opened.link());
        } else if (input instanceof EntryInput.LinkClosed closed) {
            linkClosed(closed.link(), closed.reason());
        } else if (input instanceof EntryInput.ConnectFailed failed) {
            links.upstreamByAddress(failed.address())
                    .filter(upstreamId -> links.find(upstreamId).isEmpty())
                    .ifPresent(upstreamId -> control.onLinkDown(upstreamId, clock.millis()));
        } else if (input instanceof EntryInput.Event event) {
            dispatch(event.event());
        } else if (input instanceof EntryInput.Query query) {
            query.task().run();
        }
    }

    private void tick() {
        control.onTick(clock.millis());
        publishHeartbeat();
        dispatch(new EntryEvent.Tick());
        closingWhenIdle.removeIf(upstreamId -> {
            boolean idle = !dispatcher.hasRequestsAt(upstreamId);
            if (idle) {
                disconnect(upstreamId);
            }
            return idle;
        });
        if (drainResult != null && dispatcher.isIdle()) {
            drainResult.complete(null);
        }
    }

    /** Sends a changed heartbeat at once, so that a new revision does not wait for the next regular heartbeat. */
    private void publishHeartbeat() {
        Frame next = control.heartbeat();
        if (next.equals(heartbeat)) {
            return;
        }
        heartbeat = next;
        links.currentLinks().values().forEach(link -> link.send(next));
    }

    private void linkOpened(Link link) {
        Optional<UpstreamDescription> upstream = AgentFrameCodec.describe(link.peerHello());
        if (upstream.isEmpty()) {
            LOG.log(Level.WARNING, "closing link to {0}: its hello describes no valid upstream", link.remoteAddress());
            link.close();
            return;
        }
        if (links.restarted(upstream.get())) {
            // A restarted agent has cancelled all runs of its engine and reports the cache events from the first one
            // again.
            prefixes.removeUpstream(upstream.get().upstreamId());
        }
        links.register(link, upstream.get()).ifPresent(Link::close);
        LOG.log(Level.INFO, "link to upstream {0} is up", upstream.get().upstreamId());
        dispatch(new EntryEvent.LinkUp(upstream.get()));
        control.onLinkUp(upstream.get(), clock.millis());
    }

    private void linkClosed(Link link, String reason) {
        links.remove(link).ifPresent(upstreamId -> {
            LOG.log(Level.WARNING, "link to upstream {0} is down: {1}", upstreamId, reason);
            control.onLinkDown(upstreamId, clock.millis());
            dispatch(new EntryEvent.LinkDown(upstreamId));
        });
    }

    private void handleFrame(Link link, Frame frame) {
        Optional<UpstreamDescription> upstream = links.upstreamOf(link);
        if (upstream.isEmpty()) {
            return;
        }
        String upstreamId = upstream.get().upstreamId();
        try {
            control.onFrame(upstreamId, frame, clock.millis());
            Optional<EntryEvent> event = AgentFrameCodec.event(upstreamId, frame);
            if (event.isPresent() && event.get() instanceof EntryEvent.LoadReported load) {
                prefixes.onReport(upstreamId, load.report());
            }
            if (event.isPresent()) {
                currentFrame = frame;
                dispatch(event.get());
            }
        } catch (IllegalArgumentException e) {
            LOG.log(Level.WARNING, "upstream {0} sent a malformed frame: {1}", upstreamId, e.getMessage());
            link.close();
        }
    }

    @Override
    public void dispatch(EntryEvent event) {
        Timer.Context timing = metrics.decisionTimer().time();
        List<EntryEffect> effects = dispatcher.handle(event, clock.millis());
        timing.stop();
        effects.forEach(this::apply);
    }

    private void apply(EntryEffect effect) {
        if (effect instanceof EntryEffect.SendDispatch send) {
            PendingAnswer answer = answers.get(send.request());
            AgentFrameCodec.dispatch(
                            send, answer.response().request(), answer.response().http())
                    .forEach(frame -> send(send.upstreamId(), frame));
        } else if (effect instanceof EntryEffect.SendAttach send) {
            attach(send);
        } else if (effect instanceof EntryEffect.SendReattach send) {
            send(send.upstreamId(), AgentFrameCodec.reattach(send));
        } else if (effect instanceof EntryEffect.SendAcknowledge send) {
            send(send.upstreamId(), AgentFrameCodec.acknowledge(send));
        } else if (effect instanceof EntryEffect.SendCancel send) {
            send(send.upstreamId(), AgentFrameCodec.cancel(send));
        } else if (!applyClaim(effect)) {
            deliver(effect);
        }
    }

    private boolean applyClaim(EntryEffect effect) {
        if (effect instanceof EntryEffect.AcquireClaim acquire) {
            RequestSpec request = request(acquire.request());
            claims.acquire(request, acquire.upstreamId(), acquire.upstreamIncarnation(), listener(request.id()));
            return true;
        }
        if (effect instanceof EntryEffect.ReplaceClaim replacement) {
            RequestSpec request = request(replacement.request());
            claims.replace(
                    request,
                    replacement.previousClaimId(),
                    replacement.upstreamId(),
                    replacement.upstreamIncarnation(),
                    listener(request.id()));
            return true;
        }
        if (effect instanceof EntryEffect.ReleaseClaim release) {
            claims.release(request(release.request()));
            return true;
        }
        if (effect instanceof EntryEffect.RecordOutcome outcome) {
            PendingAnswer answer = answers.get(outcome.request());
            claims.recordOutcome(
                    answer.response().request(),
                    answer.outcome(currentFrame.getFinished().getHead()));
            return true;
        }
        return false;
    }

    private RequestSpec request(RequestId id) {
        return answers.get(id).response().request();
    }

    private ClaimPort.Listener listener(RequestId id) {
        return (answer, outcome) -> execute(() -> {
            answers.find(id).ifPresent(pending -> outcome.ifPresent(pending::setStoredOutcome));
            dispatch(new EntryEvent.ClaimAnswered(id, answer));
        });
    }

    private void attach(EntryEffect.SendAttach send) {
        RequestSpec request = request(send.request());
        links.describe(send.upstreamId())
                .ifPresent(upstream -> send(
                        send.upstreamId(),
                        AgentFrameCodec.attach(
                                send, request, upstream.incarnation(), request.remainingMillis(clock.millis()))));
    }

    private void deliver(EntryEffect effect) {
        if (effect instanceof EntryEffect.DeliverOutput output) {
            if (!answers.deliverOutput(output, currentFrame.getOutput())) {
                worker.put(new EntryInput.Event(new EntryEvent.CallerDisconnected(output.request())));
            }
        } else if (effect instanceof EntryEffect.DeliverEnd end) {
            answers.complete(end.request(), currentFrame.getFinished());
        } else if (effect instanceof EntryEffect.DeliverStored stored) {
            answers.deliverStored(stored.request());
        } else if (effect instanceof EntryEffect.DeliverFailure failure) {
            answers.fail(failure.request(), failure.failure());
        } else if (effect instanceof EntryEffect.ReleaseRequest release) {
            claims.discard(request(release.request()));
            answers.remove(release.request());
        }
    }

    @Override
    public void connect(String upstreamId, String address) {
        links.connect(upstreamId, address);
    }

    @Override
    public void disconnect(String upstreamId) {
        links.find(upstreamId).ifPresent(Link::close);
    }

    @Override
    public void disconnectWhenIdle(String upstreamId) {
        closingWhenIdle.add(upstreamId);
    }

    @Override
    public void send(String peer, Frame frame) {
        links.find(peer).ifPresent(link -> link.send(frame));
    }

    @Override
    public void sendToOthers(String exceptPeer, Frame frame) {
        links.currentLinks().forEach((upstreamId, link) -> {
            if (!upstreamId.equals(exceptPeer)) {
                link.send(frame);
            }
        });
    }

    @Override
    public void close() {
        transport.close();
        worker.close();
    }
}
