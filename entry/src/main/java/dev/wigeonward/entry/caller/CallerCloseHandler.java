package dev.wigeonward.entry.caller;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;

/**
 * Closes a connection as soon as its caller has closed its side, which cancels the request that is running.
 *
 * <p>ServiceTalk reads a connection only when it expects a request, and continues an answer after the caller's side was
 * closed. This handler reads on while a request runs; what it reads is kept for the next request.
 */
final class CallerCloseHandler extends ChannelInboundHandlerAdapter {
    /** Number of bytes behind a running request above which the connection is not read until the answer has ended. */
    private static final int MAX_READ_AHEAD_BYTES = 65_536;

    private boolean requestRuns;
    private int readAheadBytes;

    /** Starts to watch for the close of the caller while its request runs. */
    static void onRequest(HttpServiceContext connection) {
        Channel channel = channel(connection);
        channel.eventLoop().execute(() -> {
            CallerCloseHandler handler = channel.pipeline().get(CallerCloseHandler.class);
            if (handler == null) {
                handler = new CallerCloseHandler();
                channel.pipeline().addFirst(handler);
            }
            handler.requestRuns = true;
            handler.readAheadBytes = 0;
            channel.read();
        });
    }

    /** Ends the watch. Must be called before the end of the answer is written, so that it precedes the next request. */
    static void onAnswerEnd(HttpServiceContext connection) {
        Channel channel = channel(connection);
        channel.eventLoop().execute(() -> {
            CallerCloseHandler handler = channel.pipeline().get(CallerCloseHandler.class);
            if (handler != null) {
                handler.requestRuns = false;
            }
        });
    }

    private static Channel channel(HttpServiceContext connection) {
        return ((NettyConnectionContext) connection).nettyChannel();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (requestRuns && message instanceof ByteBuf bytes) {
            readAheadBytes += bytes.readableBytes();
        }
        context.fireChannelRead(message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        context.fireChannelReadComplete();
        if (requestRuns && readAheadBytes <= MAX_READ_AHEAD_BYTES) {
            context.read();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (requestRuns && event == ChannelInputShutdownEvent.INSTANCE) {
            context.close();
            return;
        }
        context.fireUserEventTriggered(event);
    }
}
