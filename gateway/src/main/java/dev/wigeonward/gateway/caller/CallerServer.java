package dev.wigeonward.gateway.caller;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;

import dev.wigeonward.core.deployment.CallerLimits;
import dev.wigeonward.gateway.event.LoopLateness;
import dev.wigeonward.gateway.exchange.GatewayDispatcher;
import dev.wigeonward.gateway.port.HeaderCodec;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;

/** HTTP server for callers. All methods run on the event loop, except {@link #listen}. */
public final class CallerServer {
    private static final int ACCEPT_BACKLOG = 1_024;
    /**
     * Number of bytes not yet sent to a caller above which reading from its upstream is suspended, until they fall
     * below {@link #LOW_WATER_BYTES}.
     */
    private static final int HIGH_WATER_BYTES = 65_536;

    private static final int LOW_WATER_BYTES = 16_384;
    /** Number of reads from one connection before the other connections get their turn; the default of Netty. */
    private static final int MAX_READS = 16;

    private final GatewayDispatcher dispatcher;
    private final HeaderCodec headerCodec;
    private final Supplier<CallerLimits> limits;
    private final LoopLateness lateness;
    private final Set<CallerConnection> openConnections = new HashSet<>();
    private boolean draining;

    private CallerServer(
            GatewayDispatcher dispatcher,
            HeaderCodec headerCodec,
            Supplier<CallerLimits> limits,
            LoopLateness lateness) {
        this.lateness = lateness;
        this.dispatcher = dispatcher;
        this.headerCodec = headerCodec;
        this.limits = limits;
    }

    /** Returns a server that does not listen yet. */
    public static CallerServer create(
            GatewayDispatcher dispatcher,
            HeaderCodec headerCodec,
            Supplier<CallerLimits> limits,
            LoopLateness lateness) {
        return new CallerServer(dispatcher, headerCodec, limits, lateness);
    }

    /** Starts to accept connections; returns the bound address. */
    public InetSocketAddress listen(InetSocketAddress address, EventLoopGroup loop) {
        Channel server = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
                // Reads until nothing is left, so that a close behind a request is read together with it.
                .childOption(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator()
                                .respectMaybeMoreData(false)
                                .maxMessagesPerRead(MAX_READS))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        CallerLimits current = limits.get();
                        AnswerEncoder encoder = new AnswerEncoder();
                        channel.pipeline()
                                .addLast(
                                        new StrictRequestDecoder(current.maxHeaderBytes()),
                                        encoder,
                                        new CallerConnection(
                                                CallerServer.this, dispatcher, headerCodec, encoder, current));
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        return (InetSocketAddress) server.localAddress();
    }

    /** Closes idle connections, and makes every further answer close its connection. */
    public void startDraining() {
        draining = true;
        for (CallerConnection connection : Set.copyOf(openConnections)) {
            connection.closeIfIdle();
        }
    }

    /** Ends all requests, each with a final answer that states whether it may have run. */
    public void endRequests() {
        Set.copyOf(openConnections).forEach(CallerConnection::endRequest);
    }

    /** Returns the number of open connections of callers. */
    public int connectionCount() {
        return openConnections.size();
    }

    boolean draining() {
        return draining;
    }

    LoopLateness lateness() {
        return lateness;
    }

    void opened(CallerConnection connection) {
        openConnections.add(connection);
    }

    void closed(CallerConnection connection) {
        openConnections.remove(connection);
    }
}
