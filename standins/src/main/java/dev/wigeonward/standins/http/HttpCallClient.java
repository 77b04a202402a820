package dev.wigeonward.standins.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import com.google.common.net.HostAndPort;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;

/** HTTP client for several hosts, without retries and with a timeout of one minute. */
public final class HttpCallClient implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final Map<String, HttpClient> clients = new ConcurrentHashMap<>();

    /** Makes a call and returns its answer, or one with status 0 if the connection broke or the timeout expired. */
    public Response call(
            String address, HttpRequestMethod method, String path, Map<String, String> headers, String body) {
        return start(address, method, path, headers, body).join();
    }

    /** Starts a call; the answer has status 0 if the connection broke or the timeout expired before it was complete. */
    public CompletableFuture<Response> start(
            String address, HttpRequestMethod method, String path, Map<String, String> headers, String body) {
        HttpClient client = clients.computeIfAbsent(address, HttpCallClient::connect);
        HttpRequest request = client.newRequest(method, path);
        headers.forEach(request::addHeader);
        request.payloadBody(client.executionContext().bufferAllocator().fromUtf8(body));
        return client.request(request)
                .timeout(TIMEOUT)
                .map(response -> new Response(
                        response.status().code(), response.payloadBody().toString(StandardCharsets.UTF_8)))
                .onErrorReturn(error -> new Response(0, String.valueOf(error)))
                .toCompletionStage()
                .toCompletableFuture();
    }

    /** Returns the answer to a GET without headers. */
    public Response get(String address, String path) {
        return call(address, HttpRequestMethod.GET, path, Map.of(), "");
    }

    private static HttpClient connect(String address) {
        HostAndPort target = HostAndPort.fromString(address);
        return HttpClients.forSingleAddress(target.getHost(), target.getPort())
                .appendClientFilter(RetryingHttpRequesterFilter.disableAutoRetries())
                .build();
    }

    @Override
    public void close() {
        clients.values().forEach(client -> client.closeAsync().subscribe());
    }

    /** Status and body of an answer. */
    public record Response(int status, String body) {}
}
