package dev.wigeonward.gateway.caller;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import dev.wigeonward.core.deployment.CallerLimits;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.gateway.event.LoopLateness;
import dev.wigeonward.gateway.exchange.AnswerSink;
import dev.wigeonward.gateway.exchange.CallerRequest;
import dev.wigeonward.gateway.exchange.Exchange;
import dev.wigeonward.gateway.exchange.GatewayDispatcher;
import dev.wigeonward.gateway.exchange.RequestBody;
import dev.wigeonward.gateway.memory.UnreadOutput;
import dev.wigeonward.gateway.port.HeaderCodec;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/** Connection of a caller: reads one request at a time and writes its answer before it reads the next one. */
final class CallerConnection extends ChannelInboundHandlerAdapter implements AnswerSink {
    /**
     * Time without received bytes after the last answer, after which the connection is closed. An earlier close with
     * unread bytes would reset the connection, and the answer could be lost.
     */
    private static final long LINGER_MILLIS = 500;
    /** Longest time for which a caller may go on sending after the last answer before its connection is closed. */
    private static final long MAX_LINGER_MILLIS = 5_000;

    private final CallerServer server;
    private final GatewayDispatcher dispatcher;
    private final HeaderCodec headerCodec;
    private final AnswerEncoder encoder;
    private final CallerLimits limits;
    private final LoopLateness lateness;
    private final PipelinedMessages pipelined;
    private ChannelHandlerContext context;
    private Optional<HttpRequest> head = Optional.empty();
    private UnreadOutput unread;
    private RequestBody body;
    private Optional<Exchange> exchange = Optional.empty();
    private Optional<ScheduledFuture<?>> readTimer = Optional.empty();
    private long arrivedAtMillis;
    private boolean headBegun;
    private boolean closing;
    private boolean discardedSinceLingerCheck;
    private boolean keepAlive = true;
    /** Bytes of the answer that are due by its stated length, or empty if it states none. */
    private OptionalLong dueBytes = OptionalLong.empty();

    CallerConnection(
            CallerServer server,
            GatewayDispatcher dispatcher,
            HeaderCodec headerCodec,
            AnswerEncoder encoder,
            CallerLimits limits) {
        this.encoder = encoder;
        this.server = server;
        this.dispatcher = dispatcher;
        this.headerCodec = headerCodec;
        this.limits = limits;
        this.lateness = server.lateness();
        this.pipelined = new PipelinedMessages(
                limits.maxHeaderBytes() + limits.maxBodyBytes(),
                dispatcher.memory().requests());
    }

    @Override
    public void channelActive(ChannelHandlerContext newContext) {
        context = newContext;
        unread = UnreadOutput.of(context.channel(), dispatcher.memory().unread());
        server.opened(this);
        startTimer(limits.idleTimeoutMillis(), this::closeIfIdle);
    }

    private void startTimer(long millis, Runnable action) {
        readTimer.ifPresent(timer -> timer.cancel(false));
        readTimer = Optional.of(context.executor().schedule(action, millis, TimeUnit.MILLISECONDS));
    }

    private void stopTimer() {
        readTimer.ifPresent(timer -> timer.cancel(false));
        readTimer = Optional.empty();
    }

    /** Ends the request that is being answered because this process ends. */
    void endRequest() {
        exchange.ifPresent(Exchange::onProcessEnd);
    }

    /** Closes the connection unless a request is being read or answered. */
    void closeIfIdle() {
        if (exchange.isEmpty() && head.isEmpty()) {
            context.close();
        }
    }

    /**
     * Starts the timeout of a request head at its first byte, so that a caller cannot occupy a connection with a
     * partial head.
     */
    @Override
    public void userEventTriggered(ChannelHandlerContext eventContext, Object event) {
        boolean awaitingHead = !closing && exchange.isEmpty() && head.isEmpty();
        if (event == StrictRequestDecoder.Event.HEAD_BEGUN && awaitingHead && !headBegun) {
            headBegun = true;
            startTimer(limits.headerTimeoutMillis(), () -> rejectAndClose(ErrorKind.BODY_TIMEOUT));
        }
        eventContext.fireUserEventTriggered(event);
    }

    @Override
    public void channelRead(ChannelHandlerContext readContext, Object message) {
        if (closing) {
            ReferenceCountUtil.release(message);
            discardedSinceLingerCheck = true;
            return;
        }
        if (exchange.isPresent()) {
            // The connection is still read, because its close must end the request that is running.
            pipelined.add(message);
            return;
        }
        accept(message);
    }

    private void accept(Object message) {
        if (message instanceof HttpRequest request) {
            onRequestHead(request);
        }
        if (message instanceof HttpContent content) {
            onRequestContent(content);
        }
    }

    private void onRequestHead(HttpRequest request) {
        headBegun = false;
        arrivedAtMillis = lateness.earliestArrivalMillis();
        encoder.setToHeadRequest(request.method().equals(HttpMethod.HEAD));
        keepAlive = HttpUtil.isKeepAlive(request) && request.protocolVersion().equals(HttpVersion.HTTP_1_1);
        Optional<ErrorKind> problem = RequestChecks.problem(request, limits.maxBodyBytes());
        if (problem.isPresent()) {
            rejectAndClose(problem.get());
            return;
        }
        head = Optional.of(request);
        body = RequestBody.create(context.alloc(), dispatcher.memory().requests());
        if (!body.tryReserve(HttpUtil.getContentLength(request, 0L))) {
            rejectForMemory();
            return;
        }
        startTimer(limits.headerTimeoutMillis(), () -> rejectAndClose(ErrorKind.BODY_TIMEOUT));
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void onRequestContent(HttpContent content) {
        if (head.isEmpty()) {
            content.release();
            return;
        }
        if (content.decoderResult().isFailure()) {
            content.release();
            rejectAndClose(ErrorKind.MALFORMED_REQUEST);
            return;
        }
        if (content.content().isReadable()) {
            startTimer(limits.headerTimeoutMillis(), () -> rejectAndClose(ErrorKind.BODY_TIMEOUT));
        }
        boolean held = body.tryAppend(content.content());
        content.release();
        if (!held) {
            rejectForMemory();
            return;
        }
        if (body.length() > limits.maxBodyBytes()) {
            rejectAndClose(ErrorKind.BODY_TOO_LARGE);
            return;
        }
        if (content instanceof LastHttpContent) {
            onWholeRequest();
        }
    }

    private void onWholeRequest() {
        stopTimer();
        HttpRequest request = head.orElseThrow();
        RequestBody wholeBody = body;
        head = Optional.empty();
        body = null;
        CallerRequest callerRequest = new CallerRequest(
                request, headerCodec.readCaller(request.headers()), wholeBody, dispatcher.millis(), arrivedAtMillis);
        Exchange started = dispatcher.createExchange(callerRequest, this);
        exchange = Optional.of(started);
        // Tasks run after the rest of the connection was read, and with it the close of a caller that has left.
        context.executor().execute(started::start);
    }

    private void rejectForMemory() {
        dispatcher.telemetry().count("refused.memory");
        rejectAndClose(ErrorKind.OVERLOADED, dispatcher.memoryRetryMillis());
    }

    private void rejectAndClose(ErrorKind kind) {
        rejectAndClose(kind, 0);
    }

    private void rejectAndClose(ErrorKind kind, long retryAfterMillis) {
        dropPartialRequest();
        keepAlive = false;
        answer(ErrorAnswers.of(kind, retryAfterMillis));
    }

    private void dropPartialRequest() {
        stopTimer();
        head = Optional.empty();
        if (body != null) {
            body.release();
            body = null;
        }
    }

    @Override
    public void writeError(ErrorKind kind, long retryAfterMillis) {
        answer(ErrorAnswers.of(kind, retryAfterMillis));
    }

    private void answer(FullHttpResponse response) {
        if (!canWrite()) {
            response.release();
            return;
        }
        setConnectionHeader(response);
        finish(context.writeAndFlush(response));
    }

    private boolean canWrite() {
        return !closing && context.channel().isActive();
    }

    private void setConnectionHeader(HttpResponse response) {
        keepAlive &= !server.draining();
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    @Override
    public void writeHead(HttpResponse response) {
        if (!canWrite()) {
            return;
        }
        dueBytes = encoder.bodyLength(response);
        if (!HttpUtil.isContentLengthSet(response)) {
            HttpUtil.setTransferEncodingChunked(response, true);
        }
        setConnectionHeader(response);
        context.write(response);
    }

    @Override
    public void writeContent(ByteBuf bytes) {
        if (!canWrite()) {
            bytes.release();
            return;
        }
        if (dueBytes.isPresent()) {
            long leftBytes = dueBytes.getAsLong() - bytes.readableBytes();
            if (leftBytes < 0) {
                // Bytes behind the stated length would stand for the answer to the next request.
                dispatcher.telemetry().count("caller.length_exceeded");
                bytes.release();
                context.close();
                return;
            }
            dueBytes = OptionalLong.of(leftBytes);
        }
        ChannelFuture written = context.writeAndFlush(new DefaultHttpContent(unread.kept(bytes)));
        if (!unread.tryHold()) {
            endSlowCaller();
        } else if (unread.pendingBytes() > 0) {
            written.addListener(future -> onWritten());
        }
    }

    /** Ends the answer to a caller that reads too slowly, because all callers together leave too much unread. */
    private void endSlowCaller() {
        dispatcher.telemetry().count("caller.slow_ended");
        exchange.ifPresent(Exchange::onCallerTooSlow);
        context.close();
    }

    private void onWritten() {
        unread.tryHold();
        if (unread.pendingBytes() == 0) {
            // The budget may have been scarce, so that reading was suspended before the channel was full.
            exchange.ifPresent(current -> current.onWritabilityChanged(true));
        }
    }

    @Override
    public void complete() {
        if (!canWrite()) {
            return;
        }
        if (dueBytes.orElse(0) > 0) {
            dispatcher.telemetry().count("caller.length_not_reached");
            abort();
            return;
        }
        finish(context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    private void finish(ChannelFuture written) {
        exchange = Optional.empty();
        if (!keepAlive) {
            closing = true;
            written.addListener(future -> linger());
            return;
        }
        if (pipelined.exceeded()) {
            // Tells the caller that the requests behind this answer did not run.
            rejectForMemory();
            return;
        }
        startTimer(limits.idleTimeoutMillis(), this::closeIfIdle);
        while (!pipelined.isEmpty() && exchange.isEmpty() && !closing) {
            accept(pipelined.poll());
        }
    }

    private void linger() {
        if (context.channel() instanceof SocketChannel socket && socket.isActive()) {
            socket.shutdownOutput();
            closeOnceQuiet(MAX_LINGER_MILLIS);
        }
    }

    private void closeOnceQuiet(long leftMillis) {
        discardedSinceLingerCheck = false;
        context.executor()
                .schedule(
                        () -> {
                            if (discardedSinceLingerCheck && leftMillis > LINGER_MILLIS) {
                                closeOnceQuiet(leftMillis - LINGER_MILLIS);
                            } else {
                                context.close();
                            }
                        },
                        LINGER_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public void abort() {
        closing = true;
        exchange = Optional.empty();
        context.flush();
        context.close();
    }

    @Override
    public boolean connected() {
        return context.channel().isActive();
    }

    @Override
    public boolean writable() {
        return unread.writable();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changed) {
        exchange.ifPresent(
                current -> current.onWritabilityChanged(changed.channel().isWritable()));
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        closing = true;
        server.closed(this);
        dropPartialRequest();
        pipelined.discard();
        if (unread != null) {
            unread.release();
        }
        Optional<Exchange> unfinished = exchange;
        exchange = Optional.empty();
        unfinished.ifPresent(Exchange::onCallerClosed);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        // The connection is broken or its bytes are not HTTP. The exchange ends in channelInactive.
        dispatcher.telemetry().count("caller.broken");
        failed.close();
    }
}
