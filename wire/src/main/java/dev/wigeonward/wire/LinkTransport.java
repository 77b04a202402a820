package dev.wigeonward.wire;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import dev.wigeonward.wire.generated.Frame;
import dev.wigeonward.wire.generated.Hello;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.NetUtil;

/** Transport that opens and accepts links on one event loop. */
public final class LinkTransport implements AutoCloseable {
    private static final int LENGTH_FIELD_BYTES = 4;
    private static final int ACCEPT_BACKLOG = 1_024;

    private final LinkSettings settings;
    private final LinkListener listener;
    private final Supplier<Hello> greeting;
    private final Supplier<Frame> heartbeat;
    private final Optional<SslContext> tls;
    private final EventLoopGroup loop;
    private final boolean ownsLoop;
    private final AtomicLong linkIds = new AtomicLong();
    private Channel serverChannel;

    /**
     * Creates a transport that has no links.
     *
     * @param greeting supplies the greeting that is sent to a new peer
     * @param heartbeat supplies the frame that is sent on idle links
     * @param tls TLS context for opened and accepted links, or empty for plain TCP
     */
    public LinkTransport(
            LinkSettings settings,
            LinkListener listener,
            Supplier<Hello> greeting,
            Supplier<Frame> heartbeat,
            Optional<SslContext> tls) {
        this(settings, listener, greeting, heartbeat, tls, new NioEventLoopGroup(1), true);
    }

    private LinkTransport(
            LinkSettings settings,
            LinkListener listener,
            Supplier<Hello> greeting,
            Supplier<Frame> heartbeat,
            Optional<SslContext> tls,
            EventLoopGroup loop,
            boolean ownsLoop) {
        this.loop = Objects.requireNonNull(loop, "loop");
        this.ownsLoop = ownsLoop;
        this.settings = Objects.requireNonNull(settings, "settings");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.greeting = Objects.requireNonNull(greeting, "greeting");
        this.heartbeat = Objects.requireNonNull(heartbeat, "heartbeat");
        this.tls = Objects.requireNonNull(tls, "tls");
    }

    /** Returns a transport without links and without TLS on an event loop that the caller owns and closes. */
    public static LinkTransport withEventLoop(
            LinkSettings settings,
            LinkListener listener,
            Supplier<Hello> greeting,
            Supplier<Frame> heartbeat,
            EventLoopGroup loop) {
        return new LinkTransport(settings, listener, greeting, heartbeat, Optional.empty(), loop, false);
    }

    /** Starts to accept links and returns the address that the transport listens on. */
    public InetSocketAddress listen(InetSocketAddress address) {
        serverChannel = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, writeBufferWaterMark())
                .childHandler(initializer("incoming"))
                .bind(address)
                .syncUninterruptibly()
                .channel();
        return (InetSocketAddress) serverChannel.localAddress();
    }

    /** Starts to open a link; the listener is called with the result. */
    public void connect(InetSocketAddress address) {
        String name = NetUtil.toSocketAddressString(address);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMillis())
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, writeBufferWaterMark())
                .handler(initializer(name))
                .connect(address)
                .addListener(future -> {
                    if (!future.isSuccess()) {
                        listener.onConnectFailed(
                                name, String.valueOf(future.cause().getMessage()));
                    }
                });
    }

    private WriteBufferWaterMark writeBufferWaterMark() {
        return new WriteBufferWaterMark(settings.maxPendingBytes() / 4, settings.maxPendingBytes() / 2);
    }

    private ChannelInitializer<SocketChannel> initializer(String remoteAddress) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                var pipeline = channel.pipeline();
                boolean accepted = channel.parent() != null;
                tls.ifPresent(context -> pipeline.addLast(context.newHandler(channel.alloc())));
                pipeline.addLast(
                        new IdleStateHandler(
                                settings.readTimeoutMillis(), settings.heartbeatIdleMillis(), 0, TimeUnit.MILLISECONDS),
                        new LengthFieldBasedFrameDecoder(
                                settings.maxFrameBytes(), 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES),
                        new ProtobufDecoder(Frame.getDefaultInstance()),
                        new LengthFieldPrepender(LENGTH_FIELD_BYTES),
                        new ProtobufEncoder(),
                        new LinkHandler(
                                linkIds.incrementAndGet(),
                                accepted ? String.valueOf(channel.remoteAddress()) : remoteAddress,
                                settings,
                                listener,
                                greeting,
                                heartbeat));
            }
        };
    }

    /** Stops accepting links, and closes all links unless the caller owns the event loop. */
    @Override
    public void close() {
        if (serverChannel != null && !ownsLoop) {
            serverChannel.close();
        }
        if (!ownsLoop) {
            return;
        }
        if (serverChannel != null) {
            serverChannel.close().syncUninterruptibly();
        }
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
