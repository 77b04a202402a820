package dev.wigeonward.gateway.exchange;

import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import dev.wigeonward.core.deployment.Route;
import dev.wigeonward.core.deployment.RouteKind;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.schedule.RefusalReason;
import dev.wigeonward.core.schedule.ScheduledRequest;
import dev.wigeonward.core.schedule.ServiceScheduler;
import dev.wigeonward.core.schedule.Upstream;
import dev.wigeonward.core.stream.EventBoundaryScanner;
import dev.wigeonward.gateway.port.UpstreamCall;
import dev.wigeonward.gateway.upstream.AnswerIdentity;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;

/** Lifecycle of one caller's request from admission to the final answer. Runs on the event loop. */
public final class Exchange {
    /** Number of runs that failed before any byte of the request was sent, after which the request is given up. */
    private static final int MAX_CONNECT_FAILURES = 3;
    /** Number of times that a request returns to an upstream that was full and may not be replaced by another one. */
    private static final int MAX_RETURNS = 2;
    /**
     * Retry time stated to a caller whose request no upstream has run, after a failed run or after its deadline passed
     * in the queue.
     */
    private static final long NOT_RUN_RETRY_MILLIS = 50;

    /**
     * Time before the deadline from which the request is not sent any more: no answer is made in this time, and the
     * request would reach the upstream after the deadline if the way to it takes longer than usual.
     */
    private static final long MIN_SEND_MILLIS = 10;

    private static final int PERCENT = 100;

    private final GatewayDispatcher dispatcher;
    private final CallerRequest request;
    private final AnswerSink sink;
    private Admission.Admitted admitted;
    private ScheduledRequest scheduledRequest;
    private Optional<UpstreamRun> run = Optional.empty();
    private Optional<ScheduledFuture<?>> timeout = Optional.empty();
    private long deadlineAtMillis;
    private int sends;
    private long events;
    private int connectFailures;
    private int returns;
    private long waitedMillis;
    private String lastFailure = "none";
    /** Connection and framing of the last answer, for the log. */
    private Optional<String> answerOrigin = Optional.empty();

    private boolean mayHaveRun;
    private boolean headForwarded;
    private boolean done;
    private Optional<EventBoundaryScanner> boundaries = Optional.empty();

    Exchange(GatewayDispatcher dispatcher, CallerRequest request, AnswerSink sink) {
        this.dispatcher = dispatcher;
        this.request = request;
        this.sink = sink;
    }

    /** Checks the request and queues it, or refuses it, unless the caller has closed its connection. */
    public void start() {
        if (done) {
            return;
        }
        if (!sink.connected()) {
            onCallerClosed();
            return;
        }
        Admission admission = dispatcher.admit(request);
        if (admission instanceof Admission.Refused refused) {
            dispatcher.count("refused." + refused.kind().wireName());
            finish("refused:" + refused.kind().wireName());
            sink.writeError(refused.kind(), refused.retryAfterMillis());
            return;
        }
        admitted = (Admission.Admitted) admission;
        dispatcher.retryShare(admitted.service()).onRequest(dispatcher.nowMillis());
        if (admitted.route().kind() == RouteKind.STREAMING) {
            boundaries = Optional.of(EventBoundaryScanner.create());
        }
        deadlineAtMillis = request.deadlineAtMillis(admitted.route().timeoutMillis());
        long leftMillis = Math.max(0, deadlineAtMillis - dispatcher.nowMillis());
        timeout = Optional.of(dispatcher.loop().schedule(this::onTimeout, leftMillis, TimeUnit.MILLISECONDS));
        scheduledRequest = dispatcher.createScheduledRequest(request, admitted, deadlineAtMillis);
        dispatcher.offer(scheduledRequest, this, admitted.service());
    }

    /** Sends the request to the upstream that the scheduler chose, unless the caller has closed its connection. */
    void onPlaced(Upstream upstream) {
        if (!sink.connected()) {
            onRunEnded(ServiceScheduler.Outcome.NOT_SENT);
            onCallerClosed();
            return;
        }
        if (deadlinePassed()) {
            scheduler().onEnded(scheduledRequest, ServiceScheduler.Outcome.LEFT, dispatcher.nowMillis());
            onTimeout();
            return;
        }
        double expectedMillis = scheduler().expectedMillis(scheduledRequest);
        if (!dispatcher.processStop().leavesTimeFor(expectedMillis, dispatcher.nowMillis())) {
            onRunEnded(ServiceScheduler.Outcome.NOT_SENT);
            failOrRefuse(ErrorKind.SHUTTING_DOWN, ProcessStop.RETRY_MILLIS);
            return;
        }
        sends++;
        waitedMillis = dispatcher.nowMillis() - request.receivedAtMillis();
        dispatcher.recordWait(waitedMillis);
        UpstreamRun newRun = new UpstreamRun(this, dispatcher, upstream, scheduledRequest, sink);
        run = Optional.of(newRun);
        dispatcher.connections().send(upstream, answerIdentity(), newRun, newRun);
    }

    /** Returns whether too little time is left for the request to be sent. */
    boolean deadlinePassed() {
        return deadlineAtMillis - dispatcher.nowMillis() < MIN_SEND_MILLIS;
    }

    /** Returns what tells the answer from others; that to a HEAD request has another framing than all others. */
    private AnswerIdentity answerIdentity() {
        boolean headRequest = request.head().method().equals(HttpMethod.HEAD);
        return attemptId()
                .filter(id -> !id.isBlank() && !headRequest)
                .<AnswerIdentity>map(AnswerIdentity.ById::new)
                .orElseGet(AnswerIdentity.ByConnection::new);
    }

    private Optional<String> attemptId() {
        return request.callerHead().attemptId();
    }

    /** Returns the request as it is to be written to the upstream now. */
    FullHttpRequest upstreamRequest(Upstream upstream) {
        FullHttpRequest copy = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.head().method(),
                request.head().uri(),
                request.body().bytes().retainedDuplicate(),
                request.head().headers().copy(),
                EmptyHttpHeaders.INSTANCE);
        HttpHeaders headers = copy.headers();
        HopByHopHeaders.remove(headers);
        headers.remove(HttpHeaderNames.EXPECT);
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        boolean hasBody = request.body().length() > 0;
        if (hasBody || !request.head().method().equals(HttpMethod.GET)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length());
        }
        dispatcher
                .headerCodec()
                .writeUpstream(
                        headers,
                        new UpstreamCall(
                                upstream,
                                attemptId(),
                                Math.max(1, deadlineAtMillis - dispatcher.nowMillis()),
                                admitted.workspace().map(workspace -> workspace.name()),
                                boundaries
                                        .filter(events -> admitted.route().resumable())
                                        .flatMap(EventBoundaryScanner::lastEventId)));
        return copy;
    }

    /** Ends the exchange after the scheduler refused the request, in the queue for its first or a further run. */
    void onRefused(RefusalReason reason, long returnAfterMillis) {
        dispatcher.count("refused." + reason.name().toLowerCase(Locale.ROOT));
        ErrorKind kind =
                switch (reason) {
                    case NO_UPSTREAM -> ErrorKind.NO_UPSTREAM;
                    case SUSPECT_PART -> ErrorKind.SUSPECT;
                    case QUEUE_TOO_LONG, WAITED_TOO_LONG, UPSTREAMS_ASKED_FOR_TIME -> ErrorKind.OVERLOADED;
                };
        failOrRefuse(kind, returnAfterMillis > 0 ? returnAfterMillis : retryAfterMillis(kind));
    }

    private long retryAfterMillis(ErrorKind kind) {
        long nowMillis = dispatcher.nowMillis();
        if (kind == ErrorKind.SUSPECT) {
            return dispatcher
                    .suspectParts()
                    .refusedForMillis(request.callerHead().sharedParts(), nowMillis);
        }
        return dispatcher.retryAfterMillis(
                scheduler().returnsInMillis(scheduledRequest, nowMillis), deadlineAtMillis - nowMillis);
    }

    private void failOrRefuse(ErrorKind notRunKind, long retryAfterMillis) {
        failOrRefuse(notRunKind, retryAfterMillis, ErrorKind.UPSTREAM_LOST);
    }

    private void failOrRefuse(ErrorKind notRunKind, long retryAfterMillis, ErrorKind mayHaveRunKind) {
        if (mayHaveRun) {
            fail(mayHaveRunKind);
            return;
        }
        dispatcher.refundUsage(admitted);
        finish("refused:" + notRunKind.wireName());
        sink.writeError(notRunKind, retryAfterMillis);
    }

    /**
     * Queues the request again or ends the exchange after a run without a complete answer that can be forwarded. The
     * reason is written to the log.
     */
    void onRunFailed(RunFailure failure, String reason) {
        if (done) {
            return;
        }
        lastFailure = reason.replace(' ', '_');
        run = Optional.empty();
        boolean sent = failure != RunFailure.NOT_SENT;
        if (!sent) {
            sends--;
            connectFailures++;
        }
        mayHaveRun |= failure == RunFailure.BROKEN;
        boolean mayRepeat = !mayHaveRun || admitted.route().isIdempotent() && canResume();
        boolean mayChange = sends < admitted.route().maxAttempts();
        boolean mayReturn = failure == RunFailure.FULL && returns < MAX_RETURNS;
        boolean retry = sent
                ? mayRepeat && (mayChange || mayReturn) && dispatcher.tryAcquireRetry(admitted.service())
                : connectFailures < MAX_CONNECT_FAILURES;
        if (retry && sent && !mayChange) {
            returnToUpstream();
            return;
        }
        if (retry) {
            requeue();
            return;
        }
        failOrRefuse(ErrorKind.OVERLOADED, NOT_RUN_RETRY_MILLIS);
    }

    /**
     * Returns whether the request is to be sent to another upstream instead of forwarding the failure that this one
     * answered; counts the retry if so. If true, the run then calls {@link #onFailureReplaced}.
     */
    boolean tryReplaceFailure() {
        return !done
                && admitted.route().isIdempotent()
                && sends < admitted.route().maxAttempts()
                && dispatcher.tryAcquireRetry(admitted.service());
    }

    /** Queues the request again in place of the answer that {@link #tryReplaceFailure} replaces. */
    void onFailureReplaced() {
        run = Optional.empty();
        mayHaveRun = true;
        requeue();
    }

    private boolean canResume() {
        return boundaries.map(EventBoundaryScanner::canResume).orElse(true);
    }

    /** Queues the request again for the upstream that was full, because it may not be sent to another one. */
    private void returnToUpstream() {
        returns++;
        sends--;
        ScheduledRequest next = dispatcher.createScheduledRequest(request, admitted, deadlineAtMillis);
        scheduledRequest.upstream().ifPresent(upstream -> next.restrictToUpstream(upstream.id()));
        scheduledRequest = next;
        dispatcher.offer(scheduledRequest, this, admitted.service());
    }

    private void requeue() {
        ScheduledRequest next = dispatcher.createScheduledRequest(request, admitted, deadlineAtMillis);
        scheduledRequest.upstream().ifPresent(upstream -> next.excludeUpstream(upstream.id()));
        scheduledRequest = next;
        dispatcher.offer(scheduledRequest, this, admitted.service());
    }

    /** Records on which connection and in which framing the last answer was received, as key=value pairs. */
    void onAnswerHead(String origin) {
        answerOrigin = Optional.of(origin);
    }

    void onAnswered(int status) {
        finish("answered:" + status);
        sink.complete();
    }

    /** Ends the exchange because its deadline has passed. */
    void onTimeout() {
        if (done) {
            return;
        }
        dispatcher.count("timeout");
        endEarly(ErrorKind.DEADLINE_UNREACHABLE, NOT_RUN_RETRY_MILLIS, ErrorKind.DEADLINE_EXCEEDED_RUNNING);
    }

    /** Ends the exchange because this process ends: with a refusal, or with an error if the request may have run. */
    public void onProcessEnd() {
        if (done || admitted == null) {
            return;
        }
        dispatcher.count("ended_by_stop");
        endEarly(ErrorKind.SHUTTING_DOWN, ProcessStop.RETRY_MILLIS, ErrorKind.UPSTREAM_LOST);
    }

    private void endEarly(ErrorKind notRunKind, long retryAfterMillis, ErrorKind runningKind) {
        boolean running = run.filter(UpstreamRun::sent).isPresent();
        cancelRun();
        if (running) {
            fail(runningKind);
            return;
        }
        failOrRefuse(notRunKind, retryAfterMillis, runningKind);
    }

    private void fail(ErrorKind kind) {
        dispatcher.count("failed." + kind.wireName());
        finish((headForwarded ? "broken_off:" : "failed:") + kind.wireName());
        if (headForwarded) {
            sink.abort();
        } else {
            sink.writeError(kind, 0);
        }
    }

    /**
     * Records that the head of an answer was forwarded. From then on a failure can only be signalled by closing the
     * connection.
     */
    void onHeadForwarded() {
        headForwarded = true;
        if (!admitted.route().isIdempotent()) {
            // The request cannot be sent again, while its answer may take long.
            request.body().release();
        }
    }

    boolean headForwarded() {
        return headForwarded;
    }

    /** Counts events of the answer. */
    void onEvents(long newEvents) {
        events += newEvents;
    }

    /** Cancels the run after the caller closed its connection; no answer is sent. */
    public void onCallerClosed() {
        if (done) {
            return;
        }
        dispatcher.count("caller_left");
        dispatcher.count("caller_left." + stage());
        cancelRun();
        finish("caller_left");
    }

    private String stage() {
        if (admitted == null) {
            return "unadmitted";
        }
        return run.filter(UpstreamRun::sent).isPresent() ? "running" : "queued";
    }

    /** Resumes or suspends reading from the upstream, according to whether the caller's connection is writable. */
    public void onWritabilityChanged(boolean writable) {
        run.ifPresent(current -> current.setReading(writable));
    }

    /** Logs that the caller's connection is closed because it reads too slowly. */
    public void onCallerTooSlow() {
        dispatcher.telemetry().log().warning("caller_ended", details("too_slow"));
    }

    private void cancelRun() {
        if (scheduledRequest != null) {
            dispatcher.withdraw(scheduledRequest, admitted.service());
        }
        run.ifPresent(UpstreamRun::cancel);
    }

    private void finish(String outcome) {
        if (done) {
            return;
        }
        done = true;
        dispatcher.logOutcome(details(outcome), dispatcher.nowMillis() - request.receivedAtMillis());
        timeout.ifPresent(future -> future.cancel(false));
        request.body().release();
        dispatcher.onExchangeEnded();
    }

    private String details(String outcome) {
        long nowMillis = dispatcher.nowMillis();
        String attempt = attemptId().orElse("none");
        String common =
                "id=" + attempt + " outcome=" + outcome + " total_ms=" + (nowMillis - request.receivedAtMillis());
        if (admitted == null) {
            return common;
        }
        String upstream = scheduledRequest.upstream().map(Upstream::id).orElse("none");
        return common + " route=" + admitted.route().name() + " service=" + admitted.service() + " upstream=" + upstream
                + " sends=" + sends + " waited_ms=" + waitedMillis + " deadline_ms="
                + request.callerHead().deadlineMillis().orElse(0) + " events=" + events + " expected_events="
                + Math.round(scheduledRequest.expectedEvents()) + " slowness_percent="
                + Math.round(PERCENT * scheduledRequest.relativeSlownessAtPlacement()) + " kept_tokens="
                + scheduledRequest.keptPromptTokens() + " last_failure=" + lastFailure
                + answerOrigin.map(origin -> " " + origin).orElse("");
    }

    boolean done() {
        return done;
    }

    CallerRequest request() {
        return request;
    }

    Route route() {
        return admitted.route();
    }

    /** Returns the scanner of the events of a stream, or empty if the route does not stream. */
    Optional<EventBoundaryScanner> boundaries() {
        return boundaries;
    }

    ServiceScheduler scheduler() {
        return dispatcher.scheduler(admitted.service());
    }

    /** Records the first event of the answer to the scheduled request. */
    void onFirstEvent() {
        dispatcher.onFirstEvent(scheduledRequest, admitted.service());
    }

    /** Records the end of the run of the scheduled request. */
    void onRunEnded(ServiceScheduler.Outcome outcome) {
        dispatcher.onEnded(scheduledRequest, admitted.service(), outcome);
    }

    long fingerprint() {
        return admitted.fingerprint();
    }
}
