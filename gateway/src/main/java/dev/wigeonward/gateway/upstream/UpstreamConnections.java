package dev.wigeonward.gateway.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import dev.wigeonward.core.schedule.Upstream;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponse;
import jdk.net.ExtendedSocketOptions;

/** Connections to upstreams, kept for reuse by lifetime. All methods run on the event loop. */
public final class UpstreamConnections {
    /** Time to open a connection; several round trips of a region, and short against the objectives of callers. */
    private static final int CONNECT_MILLIS = 400;
    /** Time for which an idle connection is kept if the upstream states none; upstreams commonly keep them longer. */
    private static final long DEFAULT_KEEP_MILLIS = 8_000;
    /** Subtracted from the stated time, so that a request does not cross the upstream's close. */
    private static final long KEEP_MARGIN_MILLIS = 700;
    /** Longest time for which an idle connection is kept: one that went silent is not trusted for long. */
    private static final long LONGEST_KEEP_MILLIS = 20_000;
    /** Quiet time, pause and count of keep-alive probes: a silent connection breaks after about three seconds. */
    private static final int KEEP_ALIVE_SECONDS = 1;

    private static final int KEEP_ALIVE_PROBES = 2;
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
    private final Map<String, ArrayDeque<UpstreamChannel>> idle = new HashMap<>();

    private UpstreamConnections(EventLoopGroup loop, LongSupplier nowMillis) {
        this.nowMillis = nowMillis;
        bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS);
    }

    /** Returns an empty set of connections on the given loop. */
    public static UpstreamConnections on(EventLoopGroup loop, LongSupplier nowMillis) {
        return new UpstreamConnections(loop, nowMillis);
    }

    /**
     * Sends a request on a kept or a new connection.
     *
     * @param stillWanted receives the connection before the request is written; if it returns false, nothing is sent
     *     and the listener hears nothing
     */
    public void send(
            Upstream upstream,
            FullHttpRequest request,
            UpstreamListener listener,
            Predicate<UpstreamChannel> stillWanted) {
        String key = poolKey(upstream);
        UpstreamChannel kept = takeIdle(key);
        if (kept != null) {
            sendIfWanted(kept, request, listener, stillWanted);
            return;
        }
        UpstreamChannel fresh = new UpstreamChannel(this, key);
        bootstrap
                .clone()
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(DECODER, false, false), fresh);
                    }
                })
                .connect(address(upstream.address()))
                .addListener(future -> {
                    if (!future.isSuccess()) {
                        request.release();
                        listener.onBroken(
                                UpstreamListener.Breakage.NO_CONNECTION,
                                String.valueOf(future.cause().getMessage()));
                        return;
                    }
                    fresh.startIdle(nowMillis(), DEFAULT_KEEP_MILLIS);
                    sendIfWanted(fresh, request, listener, stillWanted);
                });
    }

    private void sendIfWanted(
            UpstreamChannel channel,
            FullHttpRequest request,
            UpstreamListener listener,
            Predicate<UpstreamChannel> stillWanted) {
        if (stillWanted.test(channel)) {
            channel.send(request, listener);
            return;
        }
        request.release();
        release(channel);
    }

    private UpstreamChannel takeIdle(String key) {
        ArrayDeque<UpstreamChannel> channels = idle.get(key);
        while (channels != null && !channels.isEmpty()) {
            UpstreamChannel newest = channels.removeLast();
            if (newest.usable(nowMillis.getAsLong())) {
                return newest;
            }
            newest.close();
        }
        return null;
    }

    /** Closes the kept connections of upstreams that are not listed any more. */
    public void retain(Collection<Upstream> listed) {
        Set<String> keys = new HashSet<>();
        listed.forEach(upstream -> keys.add(poolKey(upstream)));
        for (String key : new ArrayList<>(idle.keySet())) {
            if (!keys.contains(key)) {
                List<UpstreamChannel> gone = List.copyOf(idle.remove(key));
                gone.forEach(UpstreamChannel::close);
            }
        }
    }

    /** Finds out whether an upstream still accepts connections; the connection is closed at once. */
    public void probe(Upstream upstream, Consumer<Boolean> accepts) {
        bootstrap
                .clone()
                .handler(new ChannelInboundHandlerAdapter())
                .connect(address(upstream.address()))
                .addListener((ChannelFutureListener) future -> {
                    future.channel().close();
                    accepts.accept(future.isSuccess());
                });
    }

    /** Closes the kept connections to an upstream that does not answer; some may be silent for good. */
    public void drop(Upstream upstream) {
        ArrayDeque<UpstreamChannel> channels = idle.remove(poolKey(upstream));
        if (channels != null) {
            List.copyOf(channels).forEach(UpstreamChannel::close);
        }
    }

    void release(UpstreamChannel channel) {
        idle.computeIfAbsent(channel.poolKey(), key -> new ArrayDeque<>()).addLast(channel);
    }

    void closed(UpstreamChannel channel) {
        ArrayDeque<UpstreamChannel> channels = idle.get(channel.poolKey());
        if (channels != null) {
            channels.remove(channel);
        }
    }

    long nowMillis() {
        return nowMillis.getAsLong();
    }

    /** Returns how long a connection may be kept after this answer, in milliseconds. */
    long keepMillis(HttpResponse head) {
        String stated = head.headers().get(KEEP_ALIVE_HEADER);
        if (stated == null) {
            return DEFAULT_KEEP_MILLIS;
        }
        for (String parameter : stated.split(",")) {
            String trimmed = parameter.strip();
            if (trimmed.startsWith(TIMEOUT_PARAMETER)) {
                try {
                    long seconds = Long.parseLong(trimmed.substring(TIMEOUT_PARAMETER.length()));
                    return Math.min(LONGEST_KEEP_MILLIS, seconds * 1_000 - KEEP_MARGIN_MILLIS);
                } catch (NumberFormatException e) {
                    // A time that cannot be read is no promise to keep the connection open.
                    return 0;
                }
            }
        }
        return DEFAULT_KEEP_MILLIS;
    }

    private static String poolKey(Upstream upstream) {
        return upstream.address() + "/" + upstream.id() + "/" + upstream.bornMillis();
    }

    private static InetSocketAddress address(String hostAndPort) {
        int colon = hostAndPort.lastIndexOf(':');
        return new InetSocketAddress(
                hostAndPort.substring(0, colon), Integer.parseInt(hostAndPort.substring(colon + 1)));
    }
}
