package dev.wigeonward.common.http;

import java.time.Duration;
import java.util.concurrent.ExecutionException;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.net.HostAndPort;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.netty.HttpClients;

/** Client for the admin pages of processes. */
public final class AdminClient {
    private static final int STATUS_NOT_FOUND = 404;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private AdminClient() {}

    /** Reads an admin page of a process and returns its content, or the reason why it could not be read. */
    public static Result get(String address, String path) {
        HostAndPort target;
        try {
            target = HostAndPort.fromString(address);
        } catch (IllegalArgumentException e) {
            return new Result.Failed("address '" + address + "' is invalid, expected HOST:PORT");
        }
        if (!target.hasPort()) {
            return new Result.Failed("address '" + address + "' has no port, expected HOST:PORT");
        }
        HttpClient client = HttpClients.forSingleAddress(target.getHost(), target.getPort())
                .appendClientFilter(new ValidStatusFilter())
                .build();
        try {
            HttpResponse response =
                    client.request(client.get(path)).timeout(TIMEOUT).toFuture().get();
            if (response.status().code() == STATUS_NOT_FOUND) {
                return new Result.Failed("process at " + address + " has no page " + path);
            }
            Buffer body = response.payloadBody();
            byte[] bytes = new byte[body.readableBytes()];
            body.readBytes(bytes);
            return Json.read(bytes)
                    .<Result>map(Result.Page::new)
                    .orElseGet(() -> new Result.Failed("process at " + address + " did not answer with JSON"));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Result.Failed("interrupted while waiting for the process at " + address);
        } catch (ExecutionException e) {
            return new Result.Failed("process at " + address + " did not answer: " + e.getCause());
        } finally {
            client.closeAsync().subscribe();
        }
    }

    /** Result of reading a page. */
    public sealed interface Result {
        /** The page was read. */
        record Page(JsonNode content) implements Result {}

        /** The page could not be read. */
        record Failed(String reason) implements Result {}
    }
}
