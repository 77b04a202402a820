package dev.wigeonward.gateway.exchange;

import java.util.Locale;
import java.util.Optional;

import dev.wigeonward.core.deployment.RouteKind;
import dev.wigeonward.core.rollout.EvidenceRecorder;
import dev.wigeonward.core.schedule.Demand;
import dev.wigeonward.core.schedule.ServiceScheduler.Outcome;
import dev.wigeonward.core.schedule.Upstream;
import dev.wigeonward.core.stream.EventBoundaries;
import dev.wigeonward.gateway.port.AnswerHead;
import dev.wigeonward.gateway.upstream.UpstreamChannel;
import dev.wigeonward.gateway.upstream.UpstreamListener;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;

/** One dispatch of a request to one upstream. Runs on the event loop. */
final class Run implements UpstreamListener {
    /** Answers up to this size are passed on only once they are complete, so that a broken one can be replaced. */
    private static final int MAX_HELD_BYTES = 65_536;
    /** Events between two observations of the pause; a slowdown shows within a few tenths of a second. */
    private static final int EVENTS_PER_OBSERVATION = 8;

    private static final int MISDIRECTED_STATUS = 421;
    private static final int FIRST_SERVER_ERROR = 500;

    private final Exchange exchange;
    private final DirectPath path;
    private final Upstream upstream;
    private final Demand demand;
    private final AnswerSink sink;
    private final Optional<EvidenceRecorder.Observation> observation;
    private final ByteBuf held = Unpooled.buffer(0);
    private Optional<UpstreamChannel> channel = Optional.empty();
    private Mode mode = Mode.AWAITING_HEAD;
    private HttpResponse head;
    private boolean cancelled;
    private int events;
    private long observedAtMillis;

    Run(Exchange exchange, DirectPath path, Upstream upstream, Demand demand, AnswerSink sink) {
        this.exchange = exchange;
        this.path = path;
        this.upstream = upstream;
        this.demand = demand;
        this.sink = sink;
        path.suspects().onDispatched(exchange.fingerprint());
        observation = startObservation();
    }

    /** Takes the connection; returns false if the run was cancelled meanwhile. */
    boolean onChannel(UpstreamChannel newChannel) {
        if (cancelled) {
            return false;
        }
        channel = Optional.of(newChannel);
        return true;
    }

    Optional<UpstreamChannel> channel() {
        return channel;
    }

    /** Ends the run; nothing of it is passed on any more. */
    void cancel() {
        if (cancelled) {
            return;
        }
        channel.ifPresent(UpstreamChannel::cancel);
        end(Outcome.LEFT);
    }

    private void end(Outcome outcome) {
        cancelled = true;
        channel = Optional.empty();
        observation.ifPresent(seen -> conclude(seen, outcome));
        if (outcome == Outcome.FAILED && events > 0) {
            // The first event was counted as an answer in time; that the stream broke afterwards is counted beside it.
            startObservation().ifPresent(broken -> broken.died(path.nowMillis()));
        }
        exchange.scheduler().onEnded(demand, outcome, path.nowMillis());
        path.suspects().onEnded(exchange.fingerprint());
    }

    private Optional<EvidenceRecorder.Observation> startObservation() {
        return path.versions().started(upstream, exchange.route().name(), demand, path.nowMillis());
    }

    private void conclude(EvidenceRecorder.Observation seen, Outcome outcome) {
        long nowMillis = path.nowMillis();
        switch (outcome) {
            case ANSWERED -> seen.answered(head.status().code(), nowMillis);
            case FAILED -> seen.died(nowMillis);
            default -> seen.cancelled(nowMillis);
        }
    }

    @Override
    public boolean onHead(HttpResponse newHead) {
        AnswerHead answer = path.dialect().readAnswer(newHead.status().code(), newHead.headers());
        Optional<String> asked = exchange.request().caller().attemptId();
        if (answer.attemptId().isPresent()
                && asked.isPresent()
                && !answer.attemptId().equals(asked)) {
            path.count("upstream.foreign_answer");
            return false;
        }
        head = newHead;
        mode = modeOf(answer, newHead);
        if (mode == Mode.PASS_ON) {
            passHeadOn();
        }
        return true;
    }

    private Mode modeOf(AnswerHead answer, HttpResponse newHead) {
        int status = newHead.status().code();
        if (answer.notRun()) {
            return Mode.NOT_RUN;
        }
        boolean success = newHead.status().codeClass() == HttpStatusClass.SUCCESS;
        if (exchange.headPassedOn()) {
            return success && answer.signed() ? Mode.PASS_ON : Mode.BROKEN;
        }
        if (success && !answer.signed()) {
            return Mode.BROKEN;
        }
        if (status >= FIRST_SERVER_ERROR && exchange.replaceFailure()) {
            return Mode.REPLACED;
        }
        if (!success && PromisingStatus.promisesNotRun(status)) {
            // The upstream does not state that it did not run the request, so its status must not promise it.
            return Mode.BROKEN;
        }
        return success && exchange.route().kind() == RouteKind.STREAMING ? Mode.PASS_ON : Mode.HOLD;
    }

    private void passHeadOn() {
        if (exchange.headPassedOn()) {
            return;
        }
        exchange.onHeadPassedOn();
        HttpResponse copy = new DefaultHttpResponse(
                HttpVersion.HTTP_1_1, head.status(), head.headers().copy());
        HopByHopHeaders.remove(copy.headers());
        sink.head(copy);
    }

    @Override
    public void onContent(ByteBuf bytes) {
        switch (mode) {
            case PASS_ON -> passOn(bytes);
            case HOLD -> hold(bytes);
            default -> bytes.release();
        }
    }

    private void hold(ByteBuf bytes) {
        held.writeBytes(bytes);
        bytes.release();
        exchange.scheduler().onOutput(demand, path.nowMillis());
        if (held.readableBytes() > MAX_HELD_BYTES) {
            mode = Mode.PASS_ON;
            passHeadOn();
            sink.content(held.copy());
            held.clear();
        }
    }

    private void passOn(ByteBuf bytes) {
        observe();
        Optional<EventBoundaries> boundaries = exchange.boundaries();
        if (boundaries.isEmpty()) {
            send(bytes);
            return;
        }
        byte[] copy = ByteBufUtil.getBytes(bytes);
        bytes.release();
        int complete = boundaries.get().scan(copy, copy.length);
        if (complete > 0) {
            ByteBuf events = Unpooled.buffer(held.readableBytes() + complete);
            events.writeBytes(held).writeBytes(copy, 0, complete);
            held.clear();
            send(events);
        }
        held.writeBytes(copy, complete, copy.length - complete);
    }

    private void send(ByteBuf bytes) {
        sink.content(bytes);
        if (!sink.writable()) {
            channel.ifPresent(open -> open.read(false));
        }
    }

    private void observe() {
        long nowMillis = path.nowMillis();
        events++;
        exchange.onEvents();
        if (events == 1) {
            observation.ifPresent(seen -> seen.answered(head.status().code(), nowMillis));
            exchange.scheduler().onFirstEvent(demand, nowMillis);
            observedAtMillis = nowMillis;
            return;
        }
        exchange.scheduler().onOutput(demand, nowMillis);
        if (events % EVENTS_PER_OBSERVATION == 1) {
            exchange.scheduler()
                    .onPauses(demand, Math.max(1.0, nowMillis - observedAtMillis) / EVENTS_PER_OBSERVATION, nowMillis);
            observedAtMillis = nowMillis;
        }
    }

    @Override
    public void onComplete() {
        if (cancelled) {
            return;
        }
        switch (mode) {
            case NOT_RUN -> onNotRun();
            case REPLACED -> {
                end(Outcome.FAILED);
                exchange.onFailureRead();
            }
            case BROKEN -> {
                path.count("upstream.unusable_answer");
                end(Outcome.FAILED);
                exchange.onRunFailed(RunFailure.BROKEN, "unusable_answer");
            }
            case PASS_ON, HOLD -> onWholeAnswer();
            default -> throw new IllegalStateException("complete without a head");
        }
        path.decide();
    }

    private void onNotRun() {
        boolean misdirected = head.status().code() == MISDIRECTED_STATUS;
        path.count(misdirected ? "upstream.misdirected" : "upstream.full");
        end(misdirected ? Outcome.UNREACHABLE : Outcome.FULL);
        exchange.onRunFailed(RunFailure.NOT_RUN, misdirected ? "misdirected" : "full");
    }

    private void onWholeAnswer() {
        boolean failure = head.status().code() >= FIRST_SERVER_ERROR;
        if (!failure && events > 0) {
            exchange.scheduler().onLength(demand, events);
        }
        end(failure ? Outcome.FAILED : Outcome.ANSWERED);
        passHeadOn();
        if (held.isReadable()) {
            sink.content(held.copy());
        }
        exchange.onAnswered(head.status().code());
    }

    @Override
    public void onBroken(Breakage breakage, String reason) {
        if (cancelled) {
            return;
        }
        path.count("upstream.broken." + breakage.name().toLowerCase(Locale.ROOT));
        if (mode == Mode.NOT_RUN) {
            onNotRun();
        } else if (breakage == Breakage.SENT) {
            path.onBrokenRun(upstream, exchange.fingerprint());
            end(Outcome.FAILED);
            exchange.boundaries().ifPresent(EventBoundaries::dropOpenEvent);
            exchange.onRunFailed(RunFailure.BROKEN, reason);
        } else {
            end(breakage == Breakage.NO_CONNECTION ? Outcome.UNREACHABLE : Outcome.LEFT);
            exchange.onRunFailed(RunFailure.NOT_SENT, reason);
        }
        path.decide();
    }

    /** What is done with the answer. */
    private enum Mode {
        AWAITING_HEAD,
        /** Bytes go to the caller as they come. */
        PASS_ON,
        /** Bytes are kept until the answer is complete. */
        HOLD,
        /** The upstream did not run the request. */
        NOT_RUN,
        /** A failure that another upstream may repair. */
        REPLACED,
        /** An answer that must not reach the caller. */
        BROKEN
    }
}
