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

/** One connection to an upstream. It serves one request at a time and is closed at the first byte that is not due. */
public final class UpstreamChannel extends ChannelInboundHandlerAdapter {
    /** Status codes below this one announce another head for the same request. */
    private static final int FIRST_FINAL_STATUS = 200;

    private final UpstreamConnections owner;
    private final String poolKey;
    private Channel channel;
    private UpstreamListener listener;
    private boolean requestWritten;
    private boolean headSeen;
    private boolean skipping;
    private boolean reusable;
    private long idleSinceMillis;
    private long keepMillis;

    UpstreamChannel(UpstreamConnections owner, String poolKey) {
        this.owner = owner;
        this.poolKey = poolKey;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    /** Sends a request whose answer goes to the listener. */
    void send(FullHttpRequest request, UpstreamListener newListener) {
        listener = Objects.requireNonNull(newListener, "newListener");
        requestWritten = false;
        headSeen = false;
        skipping = false;
        reusable = true;
        if (!channel.isActive()) {
            request.release();
            fail(UpstreamListener.Breakage.NOT_SENT, "connection was closed before the request was sent");
            return;
        }
        channel.writeAndFlush(request).addListener(future -> {
            requestWritten = future.isSuccess();
            if (!future.isSuccess()) {
                fail(
                        UpstreamListener.Breakage.SENT,
                        "request not written: " + future.cause().getMessage());
                channel.close();
            }
        });
    }

    /** Ends the request on this connection by closing it; the listener hears nothing more. */
    public void cancel() {
        listener = null;
        channel.close();
    }

    /** Lets the upstream's bytes wait while the caller does not read. */
    public void read(boolean wanted) {
        channel.config().setAutoRead(wanted);
    }

    void startIdle(long nowMillis, long newKeepMillis) {
        idleSinceMillis = nowMillis;
        keepMillis = newKeepMillis;
    }

    boolean usable(long nowMillis) {
        return channel.isActive() && listener == null && nowMillis - idleSinceMillis < keepMillis;
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
                    UpstreamListener.Breakage.SENT,
                    "not HTTP: " + object.decoderResult().cause().getMessage());
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
            skipping = true;
            return;
        }
        keepMillis = owner.keepMillis(head);
        boolean framed = HttpUtil.isTransferEncodingChunked(head) || HttpUtil.isContentLengthSet(head);
        reusable &= framed && HttpUtil.isKeepAlive(head) && keepMillis > 0;
        skipping = !listener.onHead(head);
        if (skipping) {
            // A late answer to an earlier request; the connection is not used again after this one.
            reusable = false;
        } else {
            headSeen = true;
        }
    }

    private void onContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (skipping) {
            content.release();
            skipping = !last;
            return;
        }
        if (content.content().isReadable()) {
            listener.onContent(content.content());
        } else {
            content.release();
        }
        if (last && listener != null && headSeen) {
            complete();
        }
    }

    private void complete() {
        UpstreamListener finished = listener;
        listener = null;
        // An answer that came before the body was sent leaves bytes due on the connection.
        if (reusable && requestWritten && channel.isActive()) {
            idleSinceMillis = owner.nowMillis();
            channel.config().setAutoRead(true);
            owner.release(this);
        } else {
            channel.close();
        }
        finished.onComplete();
    }

    private void fail(UpstreamListener.Breakage breakage, String reason) {
        UpstreamListener failed = listener;
        listener = null;
        if (failed != null) {
            failed.onBroken(breakage, reason);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(UpstreamListener.Breakage.SENT, String.valueOf(cause.getMessage()));
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        owner.closed(this);
        fail(UpstreamListener.Breakage.SENT, "connection closed by the upstream");
    }
}
