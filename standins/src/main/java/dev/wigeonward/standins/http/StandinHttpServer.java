package dev.wigeonward.standins.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.http.api.BlockingStreamingHttpRequest;
import io.servicetalk.http.api.BlockingStreamingHttpServerResponse;
import io.servicetalk.http.api.BlockingStreamingHttpService;
import io.servicetalk.http.api.HttpPayloadWriter;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.ConnectionContext;

/** HTTP server of a stand-in; its handlers may block. */
public final class StandinHttpServer implements AutoCloseable {
    /** Maps between records and JSON with snake-case names such as {@code slow_millis}. */
    public static final ObjectMapper JSON = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
            .build();

    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

    private final HttpServerContext server;

    private StandinHttpServer(HttpServerContext server) {
        this.server = server;
    }

    /** Starts a server; port 0 selects a free port. */
    public static StandinHttpServer start(InetSocketAddress address, BlockingStreamingHttpService service) {
        try {
            return new StandinHttpServer(HttpServers.forAddress(address).listenBlockingStreamingAndAwait(service));
        } catch (Exception e) {
            throw new IllegalStateException("cannot listen on " + address, e);
        }
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.listenAddress();
    }

    /** Returns the whole body of a request. */
    public static byte[] body(BlockingStreamingHttpRequest request) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (Buffer buffer : request.payloadBody()) {
            byte[] part = new byte[buffer.readableBytes()];
            buffer.readBytes(part);
            bytes.writeBytes(part);
        }
        return bytes.toByteArray();
    }

    /** Sends an answer with a JSON body. */
    public static void answer(
            HttpServiceContext context, BlockingStreamingHttpServerResponse response, int status, JsonNode body)
            throws IOException {
        response.status(HttpResponseStatus.of(status, ""));
        response.setHeader("content-type", "application/json");
        try (HttpPayloadWriter<Buffer> writer = response.sendMetaData()) {
            writer.write(context.executionContext().bufferAllocator().fromUtf8(body.toString()));
        }
    }

    /** Closes the connection of a request so that its caller receives no answer; always throws. */
    public static void closeConnection(ConnectionContext context) throws IOException {
        context.closeAsync().subscribe();
        throw new IOException("connection closed by an injected fault");
    }

    /** Waits until the thread is interrupted. */
    public static void runUntilInterrupted() throws InterruptedException {
        new CountDownLatch(1).await();
    }

    @Override
    public void close() {
        try {
            server.closeAsync().toFuture().get(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("cannot close the server on " + server.listenAddress(), e);
        }
    }
}
