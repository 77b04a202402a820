package dev.wigeonward.agent.upstream;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import dev.wigeonward.core.request.RequestId;

/** A request as it is sent to the upstream. */
public record UpstreamRequest(
        RequestId id, String method, String path, List<Map.Entry<String, String>> headers, byte[] body) {
    public UpstreamRequest {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        headers = List.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }
}
