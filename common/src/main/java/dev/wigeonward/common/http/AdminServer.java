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

/** Serves the state of a process to operators as JSON; each path has a supplier that answers in its own time. */
public final class AdminServer implements AutoCloseable {
    private static final Logger LOG = System.getLogger(AdminServer.class.getName());

    private final HttpServerContext server;

    private AdminServer(HttpServerContext server) {
        this.server = server;
    }

    /** Starts the server. */
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
        LOG.log(Level.INFO, "admin pages on {0}", context.listenAddress());
        return new AdminServer(context);
    }

    /** Returns the address listened on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.listenAddress();
    }

    @Override
    public void close() {
        server.closeAsync().subscribe();
    }

    /** An answer that makes a health check fail. */
    public record Unhealthy(String reason) {}
}
