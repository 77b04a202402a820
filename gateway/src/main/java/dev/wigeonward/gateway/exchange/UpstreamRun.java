package dev.wigeonward.gateway.exchange;

import java.util.Locale;
import java.util.Optional;

import dev.wigeonward.core.deployment.RouteKind;
import dev.wigeonward.core.rollout.EvidenceRecorder;
import dev.wigeonward.core.schedule.ScheduledRequest;
import dev.wigeonward.core.schedule.ServiceScheduler.Outcome;
import dev.wigeonward.core.schedule.Upstream;
import dev.wigeonward.core.stream.EventBoundaryScanner;
import dev.wigeonward.gateway.memory.ByteBudget;
import dev.wigeonward.gateway.port.AnswerHead;
import dev.wigeonward.gateway.upstream.ConnectionUse;
import dev.wigeonward.gateway.upstream.RequestSource;
import dev.wigeonward.gateway.upstream.UpstreamConnection;
import dev.wigeonward.gateway.upstream.UpstreamListener;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/** One dispatch of a request to one upstream, and the forwarding of its answer. Runs on the event loop. */
final class UpstreamRun implements UpstreamListener, RequestSource {
    /** Largest non-streaming answer that is buffered until it is complete, so that a broken one can be replaced. */
    private static final int MAX_BUFFERED_BYTES = 65_536;
    /** Largest event of a resumable stream; such an event is forwarded only once it is complete. */
    private static final int MAX_EVENT_BYTES = 262_144;
    /**
     * Number of events over which the interval between events is averaged; a slowdown shows within a few tenths of a
     * second.
     */
    private static final int EVENTS_PER_OBSERVATION = 8;

    /** Number of events after which the upstream has got beyond the beginning of its answer. */
    private static final int MIN_EVENTS_OF_ANSWER = 4;

    private static final String EVENT_STREAM_TYPE = "text/event-stream";
    private static final int MISDIRECTED_STATUS = 421;
    private static final int FIRST_SERVER_ERROR = 500;

    private final Exchange exchange;
    private final GatewayDispatcher dispatcher;
    private final Upstream upstream;
    private final ScheduledRequest scheduledRequest;
    private final AnswerSink sink;
    private final Optional<EvidenceRecorder.Observation> observation;
    private final ByteBuf buffered = Unpooled.buffer(0);
    private final ByteBudget.Hold bufferedHold;
    private Optional<UpstreamConnection> connection = Optional.empty();
    private final ReadingPause pause = new ReadingPause();
    private final RunLog log;
    private Mode mode = Mode.AWAITING_HEAD;
    private HttpResponse head;
    private boolean cancelled;
    private boolean eventStream;
    private long events;
    private long answerBeganAtMillis;
    private boolean answering;
    private long observedEvents;
    private long observedAtMillis;

    UpstreamRun(
            Exchange exchange,
            GatewayDispatcher dispatcher,
            Upstream upstream,
            ScheduledRequest scheduledRequest,
            AnswerSink sink) {
        this.exchange = exchange;
        this.dispatcher = dispatcher;
        this.upstream = upstream;
        this.scheduledRequest = scheduledRequest;
        this.sink = sink;
        this.log = new RunLog(dispatcher.telemetry(), exchange.request(), upstream);
        this.bufferedHold = dispatcher.memory().answers().open();
        dispatcher.crashDetector().requests().recordDispatch(exchange.fingerprint());
        observation = startObservation();
    }

    /**
     * Returns the request if it may be sent now. The connection may be available long after the decision to send it,
     * and in a late event loop before the timer of the deadline runs.
     */
    @Override
    public Optional<FullHttpRequest> requestOn(UpstreamConnection newConnection) {
        if (cancelled || !sink.connected()) {
            return Optional.empty();
        }
        if (exchange.deadlinePassed()) {
            dispatcher.count("upstream.not_sent.deadline");
            exchange.onTimeout();
            return Optional.empty();
        }
        if (dispatcher.evacuatedZones().includes(upstream)) {
            dispatcher.count("upstream.not_sent.evacuated");
            end(Outcome.LEFT);
            exchange.onRunFailed(RunFailure.NOT_SENT, "zone_evacuated");
            return Optional.empty();
        }
        if (!exchange.scheduler().isListedAsReady(upstream)) {
            dispatcher.count("upstream.not_sent.left");
            end(Outcome.LEFT);
            exchange.onRunFailed(RunFailure.NOT_SENT, "upstream_left");
            return Optional.empty();
        }
        connection = Optional.of(newConnection);
        return Optional.of(exchange.upstreamRequest(upstream));
    }

    /** Returns whether the request was given to a connection, so that the upstream may run it. */
    boolean sent() {
        return connection.isPresent();
    }

    Optional<UpstreamConnection> connection() {
        return connection;
    }

    /** Ends the run and closes its connection; no further bytes of its answer are forwarded. */
    void cancel() {
        if (cancelled) {
            return;
        }
        connection.ifPresent(UpstreamConnection::cancel);
        end(Outcome.LEFT);
    }

    private void end(Outcome outcome) {
        noteSlowCaller(dispatcher.nowMillis());
        scheduledRequest.setOutputSuspended(pause.hidesOutput(dispatcher.nowMillis()));
        cancelled = true;
        connection = Optional.empty();
        bufferedHold.release();
        observation.ifPresent(started -> finishObservation(started, outcome));
        if (outcome == Outcome.FAILED && events > 0) {
            // The first event ended the observation as answered; the later failure is counted as a second observation.
            startObservation().ifPresent(broken -> broken.failed(dispatcher.nowMillis()));
        }
        exchange.onRunEnded(outcome);
        dispatcher.crashDetector().requests().recordEnd(exchange.fingerprint());
    }

    private Optional<EvidenceRecorder.Observation> startObservation() {
        return dispatcher
                .rollouts()
                .startObservation(upstream, exchange.route().name(), scheduledRequest, dispatcher.nowMillis());
    }

    private void finishObservation(EvidenceRecorder.Observation started, Outcome outcome) {
        long nowMillis = dispatcher.nowMillis();
        switch (outcome) {
            case ANSWERED -> started.answered(head.status().code(), nowMillis);
            case FAILED -> started.failed(nowMillis);
            default -> started.cancelled(nowMillis);
        }
    }

    @Override
    public HeadAction onHead(HttpResponse newHead, ConnectionUse use) {
        AnswerHead answer = dispatcher.headerCodec().readAnswer(newHead.status().code(), newHead.headers());
        Optional<String> expectedId = exchange.request().callerHead().attemptId();
        if (answer.attemptId().isPresent()
                && expectedId.isPresent()
                && !answer.attemptId().equals(expectedId)) {
            dispatcher.count("upstream.foreign_answer");
            log.foreignAnswer(answer.attemptId().orElseThrow(), use);
            return HeadAction.SKIP;
        }
        dispatcher.notices().onAnswer(exchange.scheduler(), upstream, expectedId.orElse("none"), answer);
        boolean identified = expectedId.isEmpty() || answer.attemptId().isPresent();
        exchange.onAnswerHead(
                use.describe() + " identified=" + answer.attemptId().isPresent() + " framing=" + framing(newHead));
        head = newHead;
        answerBeganAtMillis = dispatcher.nowMillis();
        eventStream = newHead.headers().get(HttpHeaderNames.CONTENT_TYPE, "").startsWith(EVENT_STREAM_TYPE);
        // Without its identifier an answer on a used connection may be a late copy of an earlier one.
        mode = identified || use.isFirst() ? chooseMode(answer, newHead) : Mode.UNUSABLE;
        switch (mode) {
            case NOT_RUN -> onNotRun();
            case REPLACED -> {
                end(Outcome.FAILED);
                exchange.onFailureReplaced();
            }
            case UNUSABLE -> onUnusableAnswer();
            default -> {
                if (mode == Mode.FORWARD) {
                    forwardHead();
                }
                return HeadAction.ACCEPT;
            }
        }
        dispatcher.decide();
        return identified ? HeadAction.DISCARD : HeadAction.CLOSE;
    }

    private static String framing(HttpResponse head) {
        if (HttpUtil.isTransferEncodingChunked(head)) {
            return "chunks";
        }
        return HttpUtil.isContentLengthSet(head) ? "length" : "connection";
    }

    private void onUnusableAnswer() {
        dispatcher.count("upstream.unusable_answer");
        end(Outcome.FAILED);
        exchange.onRunFailed(RunFailure.BROKEN, "unusable_answer");
    }

    private Mode chooseMode(AnswerHead answer, HttpResponse newHead) {
        int status = newHead.status().code();
        if (answer.notRun()) {
            return Mode.NOT_RUN;
        }
        boolean success = newHead.status().codeClass() == HttpStatusClass.SUCCESS;
        if (exchange.headForwarded()) {
            return success && answer.signed() && continuesStream(newHead) ? Mode.FORWARD : Mode.UNUSABLE;
        }
        if (success && !answer.signed()) {
            return Mode.UNUSABLE;
        }
        if (status >= FIRST_SERVER_ERROR && exchange.tryReplaceFailure()) {
            return Mode.REPLACED;
        }
        if (!success && NotRunStatus.impliesNotRun(status)) {
            // The upstream does not state that it did not run the request, so a status that implies this must not be
            // forwarded.
            return Mode.UNUSABLE;
        }
        return success && exchange.route().kind() == RouteKind.STREAMING ? Mode.FORWARD : Mode.BUFFER;
    }

    /** Returns whether an answer can be appended to a stream; the identifiers of its events are checked later. */
    private boolean continuesStream(HttpResponse newHead) {
        return eventStream && !newHead.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
    }

    private void forwardHead() {
        if (exchange.headForwarded()) {
            exchange.boundaries().ifPresent(EventBoundaryScanner::expectContinuation);
            return;
        }
        exchange.onHeadForwarded();
        HttpResponse copy = new DefaultHttpResponse(
                HttpVersion.HTTP_1_1, head.status(), head.headers().copy());
        if (HttpUtil.isTransferEncodingChunked(head) || mayBeContinued()) {
            // The caller gets the bytes of the chunks, or those of further runs, whatever length the head states.
            copy.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        }
        HopByHopHeaders.remove(copy.headers());
        dispatcher.headerCodec().removeNotices(copy.headers());
        sink.writeHead(copy);
    }

    private boolean mayBeContinued() {
        return mode == Mode.FORWARD && eventStream && exchange.route().resumable();
    }

    @Override
    public void onContent(ByteBuf bytes) {
        switch (mode) {
            case FORWARD -> forward(bytes);
            case BUFFER -> buffer(bytes);
            default -> bytes.release();
        }
    }

    private void buffer(ByteBuf bytes) {
        buffered.writeBytes(bytes);
        bytes.release();
        exchange.scheduler().onOutput(scheduledRequest, dispatcher.nowMillis());
        if (buffered.readableBytes() > MAX_BUFFERED_BYTES || !holdsBuffered()) {
            mode = Mode.FORWARD;
            forwardHead();
            sink.writeContent(buffered.copy());
            clearBuffered();
        }
    }

    /** Counts the memory of the buffered bytes and returns whether the budget allows it. */
    private boolean holdsBuffered() {
        return bufferedHold.tryResize(buffered.capacity());
    }

    private void clearBuffered() {
        buffered.clear().capacity(0);
        bufferedHold.release();
    }

    private void forward(ByteBuf bytes) {
        Optional<EventBoundaryScanner> boundaries = exchange.boundaries();
        if (boundaries.isEmpty()) {
            recordProgress(1);
            send(bytes);
            return;
        }
        byte[] copy = ByteBufUtil.getBytes(bytes);
        long eventsBefore = boundaries.get().eventCount();
        int complete = boundaries.get().scan(copy, copy.length);
        // An answer of another type has no events, so each read counts as progress.
        long newEvents = eventStream ? boundaries.get().eventCount() - eventsBefore : 1;
        if (newEvents > 0) {
            recordProgress(newEvents);
        }
        if (!exchange.route().resumable()) {
            send(bytes);
            return;
        }
        bytes.release();
        if (complete > 0) {
            ByteBuf events = Unpooled.buffer(buffered.readableBytes() + complete);
            events.writeBytes(buffered).writeBytes(copy, 0, complete);
            clearBuffered();
            send(events);
        }
        buffered.writeBytes(copy, complete, copy.length - complete);
        if (boundaries.get().isMisplaced()) {
            breakOff("event_misplaced");
        } else if (buffered.readableBytes() > MAX_EVENT_BYTES) {
            breakOff("event_too_long");
        } else if (!holdsBuffered()) {
            breakOff("no_memory_for_event");
        }
    }

    /** Ends the run because its stream is of no use behind the last complete event. */
    private void breakOff(String reason) {
        dispatcher.count("upstream." + reason);
        connection.ifPresent(UpstreamConnection::cancel);
        clearBuffered();
        end(Outcome.FAILED);
        exchange.boundaries().ifPresent(EventBoundaryScanner::discardIncompleteEvent);
        exchange.onRunFailed(RunFailure.BROKEN, reason);
        dispatcher.decide();
    }

    private void send(ByteBuf bytes) {
        sink.writeContent(bytes);
        if (!sink.writable()) {
            setReading(false);
        }
    }

    /** Resumes or suspends reading from the upstream, according to whether the caller reads. */
    void setReading(boolean wanted) {
        long nowMillis = dispatcher.nowMillis();
        if (connection.isEmpty() || !pause.set(connection.get(), !wanted, nowMillis)) {
            return;
        }
        scheduledRequest.setOutputSuspended(!wanted);
        if (wanted) {
            // Output is due only from now on.
            exchange.scheduler().onOutput(scheduledRequest, nowMillis);
        }
        noteSlowCaller(nowMillis);
    }

    private void noteSlowCaller(long nowMillis) {
        if (pause.becameSlow(nowMillis)) {
            dispatcher.count("caller.slowed");
            log.slowCaller(pause.totalMillis(nowMillis), events);
        }
    }

    private void recordProgress(long newEvents) {
        long nowMillis = dispatcher.nowMillis();
        boolean first = events == 0;
        events += newEvents;
        exchange.onEvents(newEvents);
        if (events >= MIN_EVENTS_OF_ANSWER) {
            markAnswering();
        }
        if (first) {
            observation.ifPresent(started -> started.answered(head.status().code(), nowMillis));
            exchange.onFirstEvent();
            observedAtMillis = nowMillis;
            observedEvents = events;
            return;
        }
        exchange.scheduler().onOutput(scheduledRequest, nowMillis);
        long sinceObservation = events - observedEvents;
        if (sinceObservation >= EVENTS_PER_OBSERVATION) {
            if (!pause.takeDisturbed()) {
                double meanMillis = Math.max(1.0, nowMillis - observedAtMillis) / sinceObservation;
                exchange.scheduler().onEventIntervals(scheduledRequest, meanMillis, nowMillis);
            }
            observedAtMillis = nowMillis;
            observedEvents = events;
        }
    }

    private void markAnswering() {
        if (answering) {
            return;
        }
        answering = true;
        dispatcher
                .crashDetector()
                .onAnswering(exchange.request().callerHead().sharedParts(), upstream.version(), answerBeganAtMillis);
    }

    @Override
    public void onComplete() {
        if (cancelled) {
            return;
        }
        if (endedInsideEvent()) {
            breakOff("event_incomplete");
            return;
        }
        onWholeAnswer();
        dispatcher.decide();
    }

    private boolean endedInsideEvent() {
        return eventStream
                && mode == Mode.FORWARD
                && exchange.boundaries()
                        .filter(EventBoundaryScanner::hasIncompleteEvent)
                        .isPresent();
    }

    private void onNotRun() {
        boolean misdirected = head.status().code() == MISDIRECTED_STATUS;
        dispatcher.count(misdirected ? "upstream.misdirected" : "upstream.full");
        end(misdirected ? Outcome.UNREACHABLE : Outcome.FULL);
        exchange.onRunFailed(misdirected ? RunFailure.NOT_RUN : RunFailure.FULL, misdirected ? "misdirected" : "full");
    }

    private void onWholeAnswer() {
        boolean failure = head.status().code() >= FIRST_SERVER_ERROR;
        if (!failure) {
            markAnswering();
        }
        if (!failure && events > 0) {
            exchange.scheduler().onStreamLength(scheduledRequest, events);
        }
        end(failure ? Outcome.FAILED : Outcome.ANSWERED);
        forwardHead();
        if (buffered.isReadable()) {
            sink.writeContent(buffered.copy());
        }
        exchange.onAnswered(head.status().code());
    }

    @Override
    public void onFailed(FailurePoint failurePoint, String reason) {
        if (cancelled) {
            return;
        }
        dispatcher.count("upstream.broken." + failurePoint.name().toLowerCase(Locale.ROOT));
        if (failurePoint == FailurePoint.SENT) {
            log.broken(connection, events, reason);
            dispatcher
                    .crashDetector()
                    .onBroken(new BrokenRun(
                            upstream,
                            exchange.fingerprint(),
                            exchange.request().callerHead().sharedParts(),
                            answering,
                            dispatcher.nowMillis()));
            // An upstream aborts an answer that is not read for some seconds, which is no failure of its own.
            end(pause.isSlow(dispatcher.nowMillis()) ? Outcome.LEFT : Outcome.FAILED);
            exchange.boundaries().ifPresent(EventBoundaryScanner::discardIncompleteEvent);
            exchange.onRunFailed(RunFailure.BROKEN, reason);
        } else {
            end(failurePoint == FailurePoint.NO_CONNECTION ? Outcome.UNREACHABLE : Outcome.LEFT);
            exchange.onRunFailed(RunFailure.NOT_SENT, reason);
        }
        dispatcher.decide();
    }

    /** Treatment of the upstream's answer. */
    private enum Mode {
        AWAITING_HEAD,
        /** Bytes are forwarded to the caller as they arrive. */
        FORWARD,
        /** Bytes are buffered until the answer is complete. */
        BUFFER,
        /** The upstream did not run the request. */
        NOT_RUN,
        /** The upstream answered with a failure, and the request is sent to another upstream instead. */
        REPLACED,
        /** The answer must not reach the caller: its signature is missing or its status would be misleading. */
        UNUSABLE
    }
}
