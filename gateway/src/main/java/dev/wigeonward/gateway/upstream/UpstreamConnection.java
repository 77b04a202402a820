package dev.wigeonward.gateway.upstream;

import java.util.Objects;
import java.util.concurrent.TimeUnit;

import dev.wigeonward.core.schedule.Upstream;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/** Connection to an upstream. It carries one request at a time and is closed when an unexpected byte is received. */
public final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    /** Lowest status code of a final answer; a lower one is followed by another head for the same request. */
    private static final int FIRST_FINAL_STATUS = 200;
    /** Number of interim answers to one request after which the connection is closed. */
    private static final int MAX_INTERIM_ANSWERS = 8;
    /** Number of requests after which the connection is closed, which bounds the identifiers that it remembers. */
    static final int MAX_REQUESTS = 512;
    /** Bytes of answers to earlier requests that are read while the answer to the current one is awaited. */
    private static final int MAX_SKIPPED_BYTES = 4 << 20;
    /** Bytes of an answer whose rest is not needed that are read to keep the connection. */
    private static final int MAX_DISCARDED_BYTES = 65_536;
    /** Time in which the rest of an answer that is not needed must arrive for the connection to be kept. */
    private static final long MAX_DISCARD_MILLIS = 500;
    /**
     * Time in which the kernel closes all sockets of a process that was killed. It may close a connection before the
     * listening socket, which then still accepts connections.
     */
    private static final long MAX_CLOSING_MILLIS = 200;

    private final UpstreamConnectionPool pool;
    private final Upstream upstream;
    private final long number;
    private final RequestIdHistory carriedIds = new RequestIdHistory();
    private final AnswerDecoder decoder;
    private Channel channel;
    private UpstreamListener listener;
    /** Listener whose answer is complete; it is called once the current read has shown no further bytes. */
    private UpstreamListener completed;
    /** Whether the answer has ended, so that the connection is pooled or closed at the end of the current read. */
    private boolean ended;
    /** Whether the end of the answer is the end of the connection. */
    private boolean endsWithConnection;

    private boolean requestWritten;
    private boolean headReceived;
    private boolean skipping;
    private boolean discarding;
    private boolean reusable;
    private int requests;
    private boolean carriedSameId;
    private int interimAnswers;
    private long skippedBytes;
    private long idleSinceMillis;
    private long keepAliveMillis;

    UpstreamConnection(UpstreamConnectionPool pool, Upstream upstream, long number, HttpDecoderConfig decoderConfig) {
        this.pool = pool;
        this.upstream = upstream;
        this.number = number;
        this.decoder = new AnswerDecoder(decoderConfig, this);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    /** Sends a request; the listener receives its answer. */
    void send(FullHttpRequest request, AnswerIdentity identity, UpstreamListener newListener) {
        listener = Objects.requireNonNull(newListener, "newListener");
        requestWritten = false;
        headReceived = false;
        skipping = false;
        endsWithConnection = false;
        reusable = !(identity instanceof AnswerIdentity.ByConnection);
        decoder.setToHeadRequest(request.method().equals(HttpMethod.HEAD));
        requests++;
        carriedSameId = identity instanceof AnswerIdentity.ById byId && carriedIds.add(byId.id());
        interimAnswers = 0;
        skippedBytes = 0;
        if (!channel.isActive()) {
            request.release();
            fail(
                    UpstreamListener.FailurePoint.NOT_SENT,
                    "connection to the upstream was closed before the request was sent");
            return;
        }
        channel.writeAndFlush(request).addListener(future -> {
            requestWritten = future.isSuccess();
            if (!future.isSuccess()) {
                fail(
                        UpstreamListener.FailurePoint.SENT,
                        "request was not written to the upstream: "
                                + future.cause().getMessage());
                channel.close();
            }
        });
    }

    /** Cancels the request by closing the connection; the listener is not called any more. */
    public void cancel() {
        listener = null;
        channel.close();
    }

    /** Resumes or suspends reading from the upstream, for example while the caller does not read. */
    public void setReading(boolean wanted) {
        channel.config().setAutoRead(wanted);
    }

    void startIdle(long nowMillis, long newKeepAliveMillis) {
        idleSinceMillis = nowMillis;
        keepAliveMillis = newKeepAliveMillis;
    }

    /** Returns whether the answer to a request could not be confused with one to an earlier request. */
    boolean mayCarry(AnswerIdentity identity) {
        return identity instanceof AnswerIdentity.ById byId && !carriedIds.mayContain(byId.id());
    }

    boolean reusableAt(long nowMillis) {
        return channel.isActive() && listener == null && nowMillis - idleSinceMillis < keepAliveMillis;
    }

    /** Returns the use of this connection up to the current request. */
    public ConnectionUse use() {
        return new ConnectionUse(number, requests - 1, carriedSameId);
    }

    void close() {
        channel.close();
    }

    Upstream upstream() {
        return upstream;
    }

    AnswerDecoder decoder() {
        return decoder;
    }

    /** Returns whether no answer is awaited or being read. */
    boolean isIdle() {
        return listener == null && !discarding && !ended;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (listener == null && !discarding || !(message instanceof HttpObject object)) {
            // The bytes belong to no request. If they follow a complete answer, that answer is still delivered.
            ReferenceCountUtil.release(message);
            reusable = false;
            context.close();
            return;
        }
        if (object.decoderResult().isFailure()) {
            ReferenceCountUtil.release(message);
            failAndClose("answer of the upstream is not HTTP: "
                    + object.decoderResult().cause().getMessage());
            return;
        }
        if (message instanceof HttpResponse head) {
            onHead(head);
        }
        if (message instanceof HttpContent content) {
            onContent(content);
        }
    }

    private void failAndClose(String reason) {
        fail(UpstreamListener.FailurePoint.SENT, reason);
        channel.close();
    }

    private void onHead(HttpResponse head) {
        if (head.status().code() < FIRST_FINAL_STATUS) {
            skipping = true;
            interimAnswers++;
            if (interimAnswers > MAX_INTERIM_ANSWERS) {
                failAndClose("upstream sent more than " + MAX_INTERIM_ANSWERS + " interim answers");
            }
            return;
        }
        keepAliveMillis = pool.keepAliveMillis(head);
        endsWithConnection = !HttpUtil.isTransferEncodingChunked(head)
                && !HttpUtil.isContentLengthSet(head)
                && !decoder.isContentAlwaysEmpty(head);
        reusable &= !endsWithConnection && HttpUtil.isKeepAlive(head) && keepAliveMillis > 0;
        switch (listener.onHead(head, use())) {
            case ACCEPT -> headReceived = true;
            case SKIP -> startSkipping();
            case DISCARD -> startDiscarding();
            case CLOSE -> cancel();
            default -> throw new IllegalStateException("unknown action for the head of an answer");
        }
    }

    /** Skips a late answer to an earlier request; the connection is not reused. */
    private void startSkipping() {
        if (endsWithConnection) {
            failAndClose("late answer to an earlier request has no length");
            return;
        }
        skipping = true;
        reusable = false;
    }

    private void startDiscarding() {
        listener = null;
        if (!reusable || !requestWritten) {
            channel.close();
            return;
        }
        discarding = true;
        int request = requests;
        channel.eventLoop()
                .schedule(
                        () -> {
                            if (discarding && requests == request) {
                                channel.close();
                            }
                        },
                        MAX_DISCARD_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void onContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (skipping || discarding) {
            skip(content, last);
            return;
        }
        if (content.content().isReadable() && listener != null) {
            listener.onContent(content.content());
        } else {
            content.release();
        }
        if (last && listener != null && headReceived) {
            completed = listener;
            listener = null;
            ended = true;
        }
    }

    private void skip(HttpContent content, boolean last) {
        skippedBytes += content.content().readableBytes();
        content.release();
        int maxBytes = discarding ? MAX_DISCARDED_BYTES : MAX_SKIPPED_BYTES;
        if (skippedBytes > maxBytes) {
            failAndClose("upstream sent more than " + maxBytes + " bytes that are no answer to the request");
            return;
        }
        skipping &= !last;
        if (discarding && last) {
            discarding = false;
            ended = true;
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        endAnswer();
        context.fireChannelReadComplete();
    }

    /**
     * Pools or closes the connection after an answer and tells the listener that its answer is complete. Bytes behind
     * the answer that were read with it make the connection unusable, so that they cannot count as the answer to the
     * next request.
     */
    private void endAnswer() {
        if (!ended) {
            return;
        }
        ended = false;
        releaseOrClose();
        UpstreamListener finished = completed;
        completed = null;
        if (finished == null) {
            return;
        }
        if (endsWithConnection) {
            completeIfUpstreamLives(finished);
            return;
        }
        finished.onComplete();
    }

    /**
     * Completes an answer whose end was that of its connection. The connection of a process that was killed ends in the
     * same way, so that the answer counts as whole only if the upstream still accepts connections after a while.
     */
    private void completeIfUpstreamLives(UpstreamListener finished) {
        channel.eventLoop()
                .schedule(
                        () -> pool.probe(upstream, result -> {
                            if (result != UpstreamConnectionPool.ProbeResult.ACCEPTED) {
                                finished.onFailed(
                                        UpstreamListener.FailurePoint.SENT,
                                        "upstream ended together with an answer without length");
                                return;
                            }
                            finished.onComplete();
                        }),
                        MAX_CLOSING_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void releaseOrClose() {
        // If the answer arrived before the request was written completely, the rest of the request would precede the
        // next one on this connection.
        boolean pooled = reusable && requestWritten && requests < MAX_REQUESTS && !decoder.hasUndecodedBytes();
        if (pooled && channel.isActive()) {
            idleSinceMillis = pool.nowMillis();
            channel.config().setAutoRead(true);
            pool.release(this);
        } else {
            channel.close();
        }
    }

    private void fail(UpstreamListener.FailurePoint failurePoint, String reason) {
        UpstreamListener failed = listener;
        listener = null;
        discarding = false;
        if (failed != null) {
            failed.onFailed(failurePoint, reason);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(UpstreamListener.FailurePoint.SENT, String.valueOf(cause.getMessage()));
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.closed(this);
        endAnswer();
        fail(
                UpstreamListener.FailurePoint.SENT,
                "connection was closed by the upstream before the answer was complete");
    }
}
