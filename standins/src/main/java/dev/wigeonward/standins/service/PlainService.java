package dev.wigeonward.standins.service;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;

import dev.wigeonward.common.http.Json;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Executors;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.netty.HttpServers;

/** HTTP service that answers each call after a delay and counts the calls by method, path and body. */
public final class PlainService implements AutoCloseable {
    private final Duration delay;
    private final Executor timer = Executors.newFixedSizeExecutor(1);
    private final String instance = UUID.randomUUID().toString();
    private final Map<String, Integer> runsByCall = new TreeMap<>();
    private HttpServerContext server;

    private PlainService(Duration delay) {
        this.delay = delay;
    }

    /** Starts a service. */
    public static PlainService start(InetSocketAddress address, Duration delay) throws Exception {
        PlainService service = new PlainService(delay);
        service.server = HttpServers.forAddress(address)
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .listenAndAwait((context, request, responses) ->
                        service.handle(context.executionContext().bufferAllocator(), request, responses));
        return service;
    }

    /** Returns the address that the service listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.listenAddress();
    }

    /** Returns the number of runs of each call. */
    public synchronized Map<String, Integer> runsByCall() {
        return Map.copyOf(runsByCall);
    }

    private Single<HttpResponse> handle(BufferAllocator allocator, HttpRequest request, HttpResponseFactory responses) {
        if (request.path().equals("/health")) {
            return Single.succeeded(json(allocator, responses.ok(), Map.of("instance", instance)));
        }
        if (request.path().equals("/admin/ran")) {
            return Single.succeeded(json(allocator, responses.ok(), runsByCall()));
        }
        String call = request.method().name() + " " + request.path() + " "
                + request.payloadBody().toString(StandardCharsets.UTF_8);
        int count = count(call);
        HttpResponse response = json(allocator, responses.ok(), Map.of("call", call, "times_run", count));
        return delay.isZero() ? Single.succeeded(response) : timer.timer(delay).concat(Single.succeeded(response));
    }

    private synchronized int count(String call) {
        return runsByCall.merge(call, 1, Integer::sum);
    }

    private static HttpResponse json(BufferAllocator allocator, HttpResponse response, Object value) {
        return response.addHeader("content-type", Json.MEDIA_TYPE).payloadBody(allocator.wrap(Json.write(value)));
    }

    @Override
    public void close() {
        server.closeAsync().subscribe();
        timer.closeAsync().subscribe();
    }
}
