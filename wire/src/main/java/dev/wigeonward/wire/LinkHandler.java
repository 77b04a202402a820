package dev.wigeonward.wire;

import java.util.function.Supplier;

import dev.wigeonward.wire.generated.Frame;
import dev.wigeonward.wire.generated.Hello;
import dev.wigeonward.wire.generated.Reject;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;

/**
 * Channel handler of one link. It exchanges greetings, sends heartbeats, and closes the link if the peer is silent or
 * violates the protocol.
 */
final class LinkHandler extends SimpleChannelInboundHandler<Frame> implements Link {
    private final long id;
    private final String remoteAddress;
    private final LinkSettings settings;
    private final LinkListener listener;
    private final Supplier<Hello> greeting;
    private final Supplier<Frame> heartbeat;
    private volatile Channel channel;
    private volatile Hello peer;
    private String downReason = "closed by the peer";

    LinkHandler(
            long id,
            String remoteAddress,
            LinkSettings settings,
            LinkListener listener,
            Supplier<Hello> greeting,
            Supplier<Frame> heartbeat) {
        this.id = id;
        this.remoteAddress = remoteAddress;
        this.settings = settings;
        this.listener = listener;
        this.greeting = greeting;
        this.heartbeat = heartbeat;
    }

    @Override
    public long id() {
        return id;
    }

    @Override
    public String remoteAddress() {
        return remoteAddress;
    }

    @Override
    public Hello peerHello() {
        return peer;
    }

    @Override
    public void send(Frame frame) {
        Channel open = channel;
        if (open == null || !open.isActive()) {
            return;
        }
        if (open.unsafe().outboundBuffer() != null
                && open.unsafe().outboundBuffer().totalPendingWriteBytes() > settings.maxPendingBytes()) {
            closeFor("the peer does not read: more than %d bytes are unsent".formatted(settings.maxPendingBytes()));
            return;
        }
        open.writeAndFlush(frame, open.voidPromise());
    }

    @Override
    public boolean isWritable() {
        Channel open = channel;
        return open != null && open.isWritable();
    }

    @Override
    public void close() {
        closeFor("closed by this process");
    }

    private void closeFor(String reason) {
        Channel open = channel;
        if (open == null) {
            return;
        }
        open.eventLoop().execute(() -> {
            downReason = reason;
            open.close();
        });
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        Hello hello = greeting.get().toBuilder()
                .setProtocolVersion(LinkSettings.PROTOCOL_VERSION)
                .build();
        context.writeAndFlush(Frame.newBuilder().setHello(hello).build());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (peer != null) {
            listener.onFrame(this, frame);
            return;
        }
        if (frame.hasReject()) {
            failHandshake(context, "rejected by the peer: " + frame.getReject().getReason(), false);
            return;
        }
        if (!frame.hasHello()) {
            failHandshake(context, "the first frame is not a greeting", true);
            return;
        }
        int version = frame.getHello().getProtocolVersion();
        if (version != LinkSettings.PROTOCOL_VERSION) {
            failHandshake(
                    context,
                    "protocol version is %d, expected %d".formatted(version, LinkSettings.PROTOCOL_VERSION),
                    true);
            return;
        }
        peer = frame.getHello();
        listener.onUp(this);
    }

    private void failHandshake(ChannelHandlerContext context, String reason, boolean sendReject) {
        listener.onConnectFailed(remoteAddress, reason);
        if (!sendReject) {
            context.close();
            return;
        }
        Frame reject = Frame.newBuilder()
                .setReject(Reject.newBuilder().setReason(reason))
                .build();
        context.writeAndFlush(reject).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (!(event instanceof IdleStateEvent idle)) {
            super.userEventTriggered(context, event);
            return;
        }
        if (idle.state() == IdleState.READER_IDLE) {
            downReason = "nothing was received for %d ms".formatted(settings.readTimeoutMillis());
            context.close();
        } else if (idle.state() == IdleState.WRITER_IDLE && peer != null) {
            context.writeAndFlush(heartbeat.get());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        downReason = "failed: " + cause.getMessage();
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (peer != null) {
            listener.onDown(this, downReason);
        } else {
            listener.onConnectFailed(remoteAddress, downReason);
        }
    }
}
