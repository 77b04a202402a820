package dev.wigeonward.standins.demo;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutionException;

import com.google.common.net.HostAndPort;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.netty.HttpClients;

/** Blocking HTTP calls to several hosts. */
final class HttpCalls implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final Map<String, HttpClient> clients = new HashMap<>();

    /** Returns the answer, or one with status 0 if none came. */
    Answer call(String address, HttpRequestMethod method, String path, Map<String, String> headers, String body) {
        HttpClient client = clients.computeIfAbsent(address, HttpCalls::connect);
        HttpRequest request = client.newRequest(method, path);
        headers.forEach(request::addHeader);
        request.payloadBody(client.executionContext().bufferAllocator().fromUtf8(body));
        try {
            HttpResponse response =
                    client.request(request).timeout(TIMEOUT).toFuture().get();
            return new Answer(response.status().code(), response.payloadBody().toString(StandardCharsets.UTF_8));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(0, "interrupted");
        } catch (ExecutionException e) {
            return new Answer(0, String.valueOf(e.getCause()));
        }
    }

    Answer get(String address, String path) {
        return call(address, HttpRequestMethod.GET, path, Map.of(), "");
    }

    private static HttpClient connect(String address) {
        HostAndPort target = HostAndPort.fromString(address);
        return HttpClients.forSingleAddress(target.getHost(), target.getPort()).build();
    }

    @Override
    public void close() {
        clients.values().forEach(client -> client.closeAsync().subscribe());
    }

    /** Status and body. */
    record Answer(int status, String body) {}
}
