package dev.wigeonward.entry.runtime;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import com.codahale.metrics.Timer;
import dev.wigeonward.core.dispatch.EntryDispatcher;
import dev.wigeonward.core.dispatch.EntryEffect;
import dev.wigeonward.core.dispatch.EntryEvent;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.placement.UpstreamDescription;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.entry.caller.CallerSession;
import dev.wigeonward.entry.caller.RequestSink;
import dev.wigeonward.entry.link.AgentFrames;
import dev.wigeonward.entry.link.AgentLinks;
import dev.wigeonward.platform.ring.DutyThread;
import dev.wigeonward.wire.Link;
import dev.wigeonward.wire.LinkListener;
import dev.wigeonward.wire.LinkSettings;
import dev.wigeonward.wire.LinkTransport;
import dev.wigeonward.wire.generated.Frame;
import dev.wigeonward.wire.generated.Heartbeat;
import dev.wigeonward.wire.generated.Hello;

/** Runs the dispatcher of an entry on one thread and carries out its effects. */
public final class EntryRuntime implements RequestSink, LinkListener, AutoCloseable {
    private static final Logger LOG = System.getLogger(EntryRuntime.class.getName());
    private static final int RING_CAPACITY = 65_536;
    private static final long TICK_MILLIS = 20;

    private final EntryDispatcher dispatcher;
    private final ClaimPort claims;
    private final Clock clock;
    private final EntryMetrics metrics;
    private final LinkTransport transport;
    private final AgentLinks links;
    private final Map<RequestId, PendingAnswer> pending = new HashMap<>();
    private final Map<String, UpstreamDescription> described = new HashMap<>();
    private final DutyThread<EntryInput> thread;
    /** Frame whose event is being handled; its bytes belong to the effects of that event. */
    private Frame frameInHand;

    private CompletableFuture<Void> whenIdle;

    public EntryRuntime(
            EntryDispatcher dispatcher,
            ClaimPort claims,
            Clock clock,
            EntryMetrics metrics,
            RandomGenerator random,
            LinkSettings linkSettings,
            Hello hello) {
        this.dispatcher = Objects.requireNonNull(dispatcher, "dispatcher");
        this.claims = Objects.requireNonNull(claims, "claims");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.transport = new LinkTransport(linkSettings, this, () -> hello, EntryRuntime::heartbeat, Optional.empty());
        this.links = new AgentLinks(transport, random);
        this.thread = DutyThread.start("decisions", RING_CAPACITY, this::accept, this::tick, TICK_MILLIS);
    }

    private static Frame heartbeat() {
        return Frame.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()).build();
    }

    /** Keeps a link to the agent at an address from now on. */
    public void addAgent(InetSocketAddress address) {
        thread.put(new EntryInput.Query(() -> links.add(address, clock.millis())));
    }

    @Override
    public boolean submit(CallerSession session) {
        return thread.offer(new EntryInput.FromCaller(session));
    }

    @Override
    public void callerGone(CallerSession session) {
        thread.put(
                new EntryInput.Event(new EntryEvent.CallerGone(session.request().id())));
    }

    @Override
    public void refused(Failure failure) {
        metrics.failed(failure.kind());
    }

    @Override
    public void onUp(Link link) {
        thread.put(new EntryInput.LinkOpened(link));
    }

    @Override
    public void onFrame(Link link, Frame frame) {
        thread.put(new EntryInput.FrameArrived(link, frame));
    }

    @Override
    public void onDown(Link link, String reason) {
        thread.put(new EntryInput.LinkClosed(link, reason));
    }

    @Override
    public void onConnectFailed(String address, String reason) {
        thread.put(new EntryInput.ConnectFailed(address, reason));
    }

    /** Returns the answer to a question about the state of the decision thread. */
    public <T> CompletionStage<T> query(Supplier<T> question) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        thread.put(new EntryInput.Query(() -> answer.complete(question.get())));
        return answer;
    }

    /** Refuses new requests and completes once all others are answered. */
    public CompletionStage<Void> drain() {
        CompletableFuture<Void> drained = new CompletableFuture<>();
        thread.put(new EntryInput.Query(() -> {
            handle(new EntryEvent.DrainStarted());
            whenIdle = drained;
        }));
        return drained;
    }

    /** Returns the state for operators; to be called through {@link #query}. */
    public Map<String, Object> dump() {
        return Map.of(
                "requests_in_flight", dispatcher.inFlight(),
                "queued_by_target", dispatcher.queuedByTarget(),
                "upstreams", described.values().stream().map(this::describe).toList(),
                "ring_size", thread.size());
    }

    private Map<String, Object> describe(UpstreamDescription upstream) {
        return Map.of(
                "id", upstream.upstreamId(),
                "target", upstream.target(),
                "version", upstream.version(),
                "failure_domain", upstream.failureDomain(),
                "linked", links.find(upstream.upstreamId()).isPresent());
    }

    private void accept(EntryInput input) {
        if (input instanceof EntryInput.FromCaller fromCaller) {
            CallerSession session = fromCaller.session();
            pending.put(session.request().id(), new PendingAnswer(session));
            metrics.arrived(session.request().tier());
            handle(new EntryEvent.RequestArrived(session.request()));
        } else if (input instanceof EntryInput.FrameArrived arrived) {
            frame(arrived.link(), arrived.frame());
        } else if (input instanceof EntryInput.LinkOpened opened) {
            linkOpened(opened.link());
        } else if (input instanceof EntryInput.LinkClosed closed) {
            linkClosed(closed.link(), closed.reason());
        } else if (input instanceof EntryInput.ConnectFailed failed) {
            links.failed(failed.address(), clock.millis());
        } else if (input instanceof EntryInput.Event event) {
            handle(event.event());
        } else if (input instanceof EntryInput.Query query) {
            query.question().run();
        }
    }

    private void tick() {
        links.connectDue(clock.millis());
        handle(new EntryEvent.Tick());
        if (whenIdle != null && dispatcher.idle()) {
            whenIdle.complete(null);
        }
    }

    private void linkOpened(Link link) {
        Optional<UpstreamDescription> upstream = AgentFrames.describe(link.peer());
        if (upstream.isEmpty()) {
            LOG.log(Level.WARNING, "{0} does not describe a usable upstream", link.remoteName());
            link.close();
            return;
        }
        String upstreamId = upstream.get().upstreamId();
        links.up(link, upstreamId).ifPresent(Link::close);
        described.put(upstreamId, upstream.get());
        LOG.log(Level.INFO, "link to upstream {0} at {1} is up", upstreamId, link.remoteName());
        handle(new EntryEvent.LinkUp(upstream.get()));
    }

    private void linkClosed(Link link, String reason) {
        links.down(link, clock.millis()).ifPresent(upstreamId -> {
            LOG.log(Level.WARNING, "link to upstream {0} is down: {1}", upstreamId, reason);
            handle(new EntryEvent.LinkDown(upstreamId));
        });
    }

    private void frame(Link link, Frame frame) {
        Optional<String> upstreamId = links.upstreamOf(link);
        if (upstreamId.isEmpty()) {
            return;
        }
        Optional<EntryEvent> event = AgentFrames.event(upstreamId.get(), frame);
        if (event.isEmpty()) {
            return;
        }
        frameInHand = frame;
        handle(event.get());
        frameInHand = null;
    }

    private void handle(EntryEvent event) {
        Timer.Context timing = metrics.decisions().time();
        List<EntryEffect> effects = dispatcher.handle(event, clock.millis());
        timing.stop();
        effects.forEach(this::carryOut);
    }

    private void carryOut(EntryEffect effect) {
        if (effect instanceof EntryEffect.SendDispatch send) {
            PendingAnswer answer = pending.get(send.request());
            AgentFrames.dispatch(
                            send, answer.session().request(), answer.session().http())
                    .forEach(frame -> send(send.upstreamId(), frame));
        } else if (effect instanceof EntryEffect.SendAttach send) {
            attach(send);
        } else if (effect instanceof EntryEffect.SendReattach send) {
            send(send.upstreamId(), AgentFrames.reattach(send));
        } else if (effect instanceof EntryEffect.SendAcknowledge send) {
            send(send.upstreamId(), AgentFrames.acknowledge(send));
        } else if (effect instanceof EntryEffect.SendCancel send) {
            send(send.upstreamId(), AgentFrames.cancel(send));
        } else if (!carryOutClaim(effect)) {
            deliver(effect);
        }
    }

    private boolean carryOutClaim(EntryEffect effect) {
        if (effect instanceof EntryEffect.MakeClaim make) {
            claims.make(
                    pending.get(make.request()).session().request(),
                    make.upstreamId(),
                    make.upstreamIncarnation(),
                    listener(make.request()));
            return true;
        }
        if (effect instanceof EntryEffect.TakeOverClaim take) {
            claims.takeOver(
                    pending.get(take.request()).session().request(),
                    take.previousClaimId(),
                    take.upstreamId(),
                    take.upstreamIncarnation(),
                    listener(take.request()));
            return true;
        }
        if (effect instanceof EntryEffect.ReleaseClaim release) {
            claims.release(pending.get(release.request()).session().request());
            return true;
        }
        if (effect instanceof EntryEffect.RecordOutcome outcome) {
            PendingAnswer answer = pending.get(outcome.request());
            answer.outcome(frameInHand.getFinished().getHead())
                    .ifPresent(stored -> claims.record(answer.session().request(), stored));
            return true;
        }
        return false;
    }

    private ClaimPort.Listener listener(RequestId id) {
        return (answer, outcome) -> {
            thread.put(new EntryInput.Query(() -> {
                PendingAnswer waiting = pending.get(id);
                if (waiting != null) {
                    outcome.ifPresent(waiting::storedOutcome);
                }
                handle(new EntryEvent.ClaimAnswered(id, answer));
            }));
        };
    }

    private void attach(EntryEffect.SendAttach send) {
        PendingAnswer answer = pending.get(send.request());
        UpstreamDescription upstream = described.get(send.upstreamId());
        long leftMillis = answer.session().request().timeLeftMillis(clock.millis());
        send(
                send.upstreamId(),
                AgentFrames.attach(send, answer.session().request(), upstream.incarnation(), leftMillis));
    }

    private void send(String upstreamId, Frame frame) {
        links.find(upstreamId).ifPresent(link -> link.send(frame));
    }

    private void deliver(EntryEffect effect) {
        if (effect instanceof EntryEffect.DeliverOutput output) {
            PendingAnswer answer = pending.get(output.request());
            if (!answer.output(frameInHand.getOutput(), output.skipBytes())) {
                answer.session().fail(Failure.of(ErrorKind.SLOW_READER, "the caller reads too slowly"));
                metrics.failed(ErrorKind.SLOW_READER);
                thread.put(new EntryInput.Event(new EntryEvent.CallerGone(output.request())));
            }
        } else if (effect instanceof EntryEffect.DeliverEnd end) {
            PendingAnswer answer = pending.get(end.request());
            answer.finish(frameInHand.getFinished());
            metrics.completed(answer.session().request().tier());
        } else if (effect instanceof EntryEffect.DeliverStored stored) {
            PendingAnswer answer = pending.get(stored.request());
            answer.deliverStored();
            metrics.completed(answer.session().request().tier());
        } else if (effect instanceof EntryEffect.DeliverFailure failure) {
            PendingAnswer answer = pending.get(failure.request());
            metrics.failed(failure.failure().kind());
            answer.session().fail(failure.failure());
        } else if (effect instanceof EntryEffect.Forget forget) {
            pending.remove(forget.request());
        }
    }

    @Override
    public void close() {
        transport.close();
        thread.close();
    }
}
