package dev.wigeonward.common.http;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.netty.HttpServers;

/**
 * HTTP server that serves the state of a process to operators as JSON. Each path has a supplier whose stage completes
 * with the content of the page.
 */
public final class AdminServer implements AutoCloseable {
    private static final Logger LOG = System.getLogger(AdminServer.class.getName());

    private final HttpServerContext server;

    private AdminServer(HttpServerContext server) {
        this.server = server;
    }

    /** Starts a server; a request for an unknown path is answered with the list of known paths. */
    public static AdminServer start(InetSocketAddress address, Map<String, Supplier<CompletionStage<?>>> pages)
            throws Exception {
        Map<String, Supplier<CompletionStage<?>>> known = new TreeMap<>(pages);
        HttpServerContext context = HttpServers.forAddress(address)
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .listenAndAwait((service, request, responses) -> {
                    Supplier<CompletionStage<?>> page = known.get(request.path());
                    if (page == null) {
                        return Single.succeeded(responses
                                .notFound()
                                .payloadBody(service.executionContext()
                                        .bufferAllocator()
                                        .wrap(Json.writePretty(Map.of("pages", known.keySet())))));
                    }
                    return Single.fromStage(page.get()).map(value -> {
                        HttpResponseStatus status = value instanceof Unhealthy
                                ? HttpResponseStatus.SERVICE_UNAVAILABLE
                                : HttpResponseStatus.OK;
                        return responses
                                .newResponse(status)
                                .addHeader("content-type", Json.MEDIA_TYPE)
                                .payloadBody(service.executionContext()
                                        .bufferAllocator()
                                        .wrap(Json.writePretty(value)));
                    });
                });
        LOG.log(Level.INFO, "serving admin pages on {0}", context.listenAddress());
        return new AdminServer(context);
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.listenAddress();
    }

    @Override
    public void close() {
        server.closeAsync().subscribe();
    }

    /** Content of a page that is answered with status 503, so that a health check fails. */
    public record Unhealthy(String reason) {}
}
