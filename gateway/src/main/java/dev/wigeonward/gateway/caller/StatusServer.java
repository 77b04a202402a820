package dev.wigeonward.gateway.caller;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;

/** HTTP server for the status pages of a process, such as readiness, metrics and dump. */
public final class StatusServer {
    private static final int MAX_REQUEST_BYTES = 4_096;
    /** Idle time after which a connection is closed; probes and collectors send a request every few seconds. */
    private static final int IDLE_SECONDS = 30;

    private StatusServer() {}

    /** Starts to serve the pages, keyed by path; returns the listening channel. */
    public static Channel listen(InetSocketAddress address, EventLoopGroup loop, Map<String, Supplier<Page>> pages) {
        Map<String, Supplier<Page>> pagesByPath = Map.copyOf(pages);
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new ReadTimeoutHandler(IDLE_SECONDS),
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_REQUEST_BYTES),
                                        new PageHandler(pagesByPath));
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /** Plain text page with its HTTP status. */
    public record Page(int status, String text) {}

    private static final class PageHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private static final Page UNKNOWN = new Page(404, "no such page\n");

        private final Map<String, Supplier<Page>> pages;

        private PageHandler(Map<String, Supplier<Page>> pages) {
            this.pages = pages;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Page page = pages.getOrDefault(request.uri(), () -> UNKNOWN).get();
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(page.status()),
                    Unpooled.wrappedBuffer(page.text().getBytes(StandardCharsets.UTF_8)));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            HttpUtil.setKeepAlive(response, keepAlive);
            var written = context.writeAndFlush(response);
            if (!keepAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // The client closed the connection or sent nothing before the timeout, so no answer can be sent.
            context.close();
        }
    }
}
