package dev.wigeonward.gateway.upstream;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import com.codahale.metrics.MetricRegistry;
import dev.wigeonward.core.schedule.Upstream;
import dev.wigeonward.gateway.event.LoopLateness;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import jdk.net.ExtendedSocketOptions;

/**
 * Pool of connections to upstreams, keyed by address and lifetime of the upstream. All methods run on the event loop.
 */
public final class UpstreamConnectionPool {
    /**
     * Timeout for opening a connection: several round trips within a region, and short compared with callers' latency
     * objectives.
     */
    private static final int CONNECT_MILLIS = 400;
    /**
     * Time that an idle connection is pooled if the upstream states no timeout; upstreams commonly keep connections
     * open longer.
     */
    private static final long DEFAULT_KEEP_ALIVE_MILLIS = 8_000;
    /**
     * Margin subtracted from the timeout that the upstream states, so that no request is sent while the upstream closes
     * the connection.
     */
    private static final long KEEP_ALIVE_MARGIN_MILLIS = 700;
    /** Longest time that an idle connection is pooled, because it may have become unusable without a notice. */
    private static final long MAX_KEEP_ALIVE_MILLIS = 20_000;
    /**
     * Idle time before the first TCP keep-alive probe and interval between probes. With {@link #TCP_PROBES} an
     * unresponsive connection is closed after about three seconds.
     */
    private static final int TCP_PROBE_SECONDS = 1;

    private static final int TCP_PROBES = 2;
    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 32_768;
    private static final int MAX_CHUNK_BYTES = 16_384;
    private static final HttpDecoderConfig DECODER = new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES);
    private static final String KEEP_ALIVE_HEADER = "keep-alive";
    private static final String TIMEOUT_PARAMETER = "timeout=";

    private final Bootstrap bootstrap;
    private final LongSupplier nowMillis;
    private final LoopLateness lateness;
    private final Map<String, ArrayDeque<UpstreamConnection>> idle = new HashMap<>();
    private long openedConnectionCount;
    private long sentRequestCount;

    private UpstreamConnectionPool(EventLoopGroup loop, LongSupplier nowMillis, LoopLateness lateness) {
        this.nowMillis = nowMillis;
        this.lateness = lateness;
        bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), TCP_PROBE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), TCP_PROBE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), TCP_PROBES)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS);
    }

    /** Returns an empty pool whose connections run on the given loop. */
    public static UpstreamConnectionPool create(EventLoopGroup loop, LongSupplier nowMillis) {
        return create(loop, nowMillis, LoopLateness.none());
    }

    /** Returns an empty pool that writes no request while the loop is late. */
    public static UpstreamConnectionPool create(EventLoopGroup loop, LongSupplier nowMillis, LoopLateness lateness) {
        return new UpstreamConnectionPool(loop, nowMillis, lateness);
    }

    /**
     * Sends a request on a pooled connection or on a new one.
     *
     * @param identity what tells the answer from those to earlier requests
     * @param stillWanted receives the connection before the request is written; if it returns false, the request is not
     *     sent and the listener is not called
     */
    public void send(
            Upstream upstream,
            FullHttpRequest request,
            AnswerIdentity identity,
            UpstreamListener listener,
            Predicate<UpstreamConnection> stillWanted) {
        send(upstream, identity, listener, new RequestSource() {
            @Override
            public Optional<FullHttpRequest> requestOn(UpstreamConnection connection) {
                if (stillWanted.test(connection)) {
                    return Optional.of(request);
                }
                discard();
                return Optional.empty();
            }

            @Override
            public void discard() {
                request.release();
            }
        });
    }

    /**
     * Sends the request of a source on a pooled connection or on a new one. The source is asked when the request can be
     * written, which may be long after this call. If it returns no request, the listener is not called.
     *
     * @param identity what tells the answer from those to earlier requests
     */
    public void send(Upstream upstream, AnswerIdentity identity, UpstreamListener listener, RequestSource source) {
        lateness.runWhenCurrent(() -> {
            Optional<UpstreamConnection> pooled = takeIdle(poolKey(upstream), identity);
            if (pooled.isEmpty()) {
                sendOnNewConnection(upstream, identity, listener, source);
            } else {
                sendIfWanted(pooled.get(), identity, listener, source);
            }
        });
    }

    private void sendOnNewConnection(
            Upstream upstream, AnswerIdentity identity, UpstreamListener listener, RequestSource source) {
        UpstreamConnection newConnection = new UpstreamConnection(this, upstream, openedConnectionCount++, DECODER);
        bootstrap
                .clone()
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(newConnection.decoder(), new HttpRequestEncoder(), newConnection);
                    }
                })
                .connect(address(upstream.address()))
                .addListener((ChannelFutureListener) future -> {
                    if (!future.isSuccess()) {
                        source.discard();
                        listener.onFailed(
                                UpstreamListener.FailurePoint.NO_CONNECTION,
                                String.valueOf(future.cause().getMessage()));
                        return;
                    }
                    newConnection.startIdle(nowMillis(), DEFAULT_KEEP_ALIVE_MILLIS);
                    // Tasks run behind the input of this turn, among it the close of a caller that has left.
                    future.channel()
                            .eventLoop()
                            .execute(() -> lateness.runWhenCurrent(
                                    () -> sendIfWanted(newConnection, identity, listener, source)));
                });
    }

    private void sendIfWanted(
            UpstreamConnection connection, AnswerIdentity identity, UpstreamListener listener, RequestSource source) {
        Optional<FullHttpRequest> request = source.requestOn(connection);
        if (request.isPresent()) {
            sentRequestCount++;
            connection.send(request.get(), identity, listener);
            return;
        }
        release(connection);
    }

    private Optional<UpstreamConnection> takeIdle(String key, AnswerIdentity identity) {
        ArrayDeque<UpstreamConnection> pooled = idle.get(key);
        if (pooled == null) {
            return Optional.empty();
        }
        long now = nowMillis.getAsLong();
        Iterator<UpstreamConnection> newestFirst = pooled.descendingIterator();
        while (newestFirst.hasNext()) {
            UpstreamConnection connection = newestFirst.next();
            boolean usable = connection.reusableAt(now);
            if (usable && !connection.mayCarry(identity)) {
                continue;
            }
            newestFirst.remove();
            if (usable) {
                return Optional.of(connection);
            }
            connection.close();
        }
        // The new connection takes the place of one that cannot carry the request, so that requests that need
        // one do not use up the connections that the upstream accepts.
        if (!pooled.isEmpty()) {
            pooled.removeFirst().close();
        }
        return Optional.empty();
    }

    /** Closes the pooled connections of upstreams that are no longer listed. */
    public void closeUnlisted(Collection<Upstream> listed) {
        Set<String> keys = new HashSet<>();
        listed.forEach(upstream -> keys.add(poolKey(upstream)));
        for (String key : new ArrayList<>(idle.keySet())) {
            if (!keys.contains(key)) {
                List<UpstreamConnection> removed = List.copyOf(idle.remove(key));
                removed.forEach(UpstreamConnection::close);
            }
        }
    }

    /** Tests whether an upstream accepts connections, by opening one and closing it at once. */
    public void probe(Upstream upstream, Consumer<ProbeResult> done) {
        bootstrap
                .clone()
                .handler(new ChannelInboundHandlerAdapter())
                .connect(address(upstream.address()))
                .addListener((ChannelFutureListener) future -> {
                    future.channel().close();
                    done.accept(future.isSuccess() ? ProbeResult.ACCEPTED : failure(future.cause()));
                });
    }

    private static ProbeResult failure(Throwable cause) {
        boolean refused = cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
        return refused ? ProbeResult.REFUSED : ProbeResult.NO_ANSWER;
    }

    /**
     * Closes the pooled connections to an upstream that does not answer, because some may never deliver an answer
     * again.
     */
    public void closePooled(Upstream upstream) {
        ArrayDeque<UpstreamConnection> pooled = idle.remove(poolKey(upstream));
        if (pooled != null) {
            List.copyOf(pooled).forEach(UpstreamConnection::close);
        }
    }

    void release(UpstreamConnection connection) {
        idle.computeIfAbsent(poolKey(connection.upstream()), key -> new ArrayDeque<>())
                .addLast(connection);
    }

    void closed(UpstreamConnection connection) {
        ArrayDeque<UpstreamConnection> pooled = idle.get(poolKey(connection.upstream()));
        if (pooled != null) {
            pooled.remove(connection);
        }
    }

    /** Registers gauges for the connections opened and the requests sent since the start. */
    public void register(MetricRegistry metrics) {
        metrics.gauge("upstream.connections_opened", () -> () -> openedConnectionCount);
        metrics.gauge("upstream.requests_sent", () -> () -> sentRequestCount);
    }

    long nowMillis() {
        return nowMillis.getAsLong();
    }

    /** Returns the time in milliseconds that the connection may be pooled after this answer. */
    long keepAliveMillis(HttpResponse head) {
        String header = head.headers().get(KEEP_ALIVE_HEADER);
        if (header == null) {
            return DEFAULT_KEEP_ALIVE_MILLIS;
        }
        for (String parameter : header.split(",")) {
            String trimmed = parameter.strip();
            if (trimmed.startsWith(TIMEOUT_PARAMETER)) {
                try {
                    long seconds = Long.parseLong(trimmed.substring(TIMEOUT_PARAMETER.length()));
                    return Math.min(MAX_KEEP_ALIVE_MILLIS, seconds * 1_000 - KEEP_ALIVE_MARGIN_MILLIS);
                } catch (NumberFormatException e) {
                    // With an unreadable timeout the upstream may close the connection at any time.
                    return 0;
                }
            }
        }
        return DEFAULT_KEEP_ALIVE_MILLIS;
    }

    private static String poolKey(Upstream upstream) {
        return upstream.address() + "/" + upstream.id() + "/" + upstream.startedAtMillis();
    }

    private static InetSocketAddress address(String hostAndPort) {
        int colon = hostAndPort.lastIndexOf(':');
        return new InetSocketAddress(
                hostAndPort.substring(0, colon), Integer.parseInt(hostAndPort.substring(colon + 1)));
    }

    /** Result of a probe of an upstream. */
    public enum ProbeResult {
        ACCEPTED,
        /** The host of the upstream answered that nothing accepts connections at the address. */
        REFUSED,
        /** The host of the upstream did not answer in time or cannot be reached. */
        NO_ANSWER
    }
}
