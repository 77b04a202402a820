package dev.wigeonward.gateway.upstream;

import java.util.Objects;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/** Connection to an upstream. It carries one request at a time and is closed when an unexpected byte is received. */
public final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    /** Lowest status code of a final answer; a lower one is followed by another head for the same request. */
    private static final int FIRST_FINAL_STATUS = 200;

    private final UpstreamConnectionPool pool;
    private final String poolKey;
    private Channel channel;
    private UpstreamListener listener;
    private boolean requestWritten;
    private boolean headReceived;
    private boolean discarding;
    private boolean reusable;
    private long idleSinceMillis;
    private long keepAliveMillis;

    UpstreamConnection(UpstreamConnectionPool pool, String poolKey) {
        this.pool = pool;
        this.poolKey = poolKey;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    /** Sends a request; the listener receives its answer. */
    void send(FullHttpRequest request, UpstreamListener newListener) {
        listener = Objects.requireNonNull(newListener, "newListener");
        requestWritten = false;
        headReceived = false;
        discarding = false;
        reusable = true;
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

    boolean reusableAt(long nowMillis) {
        return channel.isActive() && listener == null && nowMillis - idleSinceMillis < keepAliveMillis;
    }

    void close() {
        channel.close();
    }

    String poolKey() {
        return poolKey;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (listener == null || !(message instanceof HttpObject object)) {
            ReferenceCountUtil.release(message);
            context.close();
            return;
        }
        if (object.decoderResult().isFailure()) {
            ReferenceCountUtil.release(message);
            fail(
                    UpstreamListener.FailurePoint.SENT,
                    "answer of the upstream is not HTTP: "
                            + object.decoderResult().cause().getMessage());
            context.close();
            return;
        }
        if (message instanceof HttpResponse head) {
            onHead(head);
        }
        if (message instanceof HttpContent content) {
            onContent(content);
        }
    }

    private void onHead(HttpResponse head) {
        if (head.status().code() < FIRST_FINAL_STATUS) {
            discarding = true;
            return;
        }
        keepAliveMillis = pool.keepAliveMillis(head);
        boolean framed = HttpUtil.isTransferEncodingChunked(head) || HttpUtil.isContentLengthSet(head);
        reusable &= framed && HttpUtil.isKeepAlive(head) && keepAliveMillis > 0;
        discarding = !listener.onHead(head);
        if (discarding) {
            // This is a late answer to an earlier request, so the connection is not reused.
            reusable = false;
        } else {
            headReceived = true;
        }
    }

    private void onContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (discarding) {
            content.release();
            discarding = !last;
            return;
        }
        if (content.content().isReadable()) {
            listener.onContent(content.content());
        } else {
            content.release();
        }
        if (last && listener != null && headReceived) {
            complete();
        }
    }

    private void complete() {
        UpstreamListener finished = listener;
        listener = null;
        // If the answer arrived before the request was written completely, the rest of the request would precede the
        // next one on this connection.
        if (reusable && requestWritten && channel.isActive()) {
            idleSinceMillis = pool.nowMillis();
            channel.config().setAutoRead(true);
            pool.release(this);
        } else {
            channel.close();
        }
        finished.onComplete();
    }

    private void fail(UpstreamListener.FailurePoint failurePoint, String reason) {
        UpstreamListener failed = listener;
        listener = null;
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
        fail(
                UpstreamListener.FailurePoint.SENT,
                "connection was closed by the upstream before the answer was complete");
    }
}
