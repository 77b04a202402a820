package dev.wigeonward.entry.caller;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A caller's HTTP request with its whole body.
 *
 * @param headers end-to-end headers in their order, without those that concern one connection only
 */
public record CallerRequest(String method, String path, List<Map.Entry<String, String>> headers, byte[] body) {
    public CallerRequest {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        headers = List.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }

    /** Returns the first value of a header, whose name is compared without regard to case. */
    public Optional<String> header(String name) {
        return headers.stream()
                .filter(header -> header.getKey().equalsIgnoreCase(name))
                .map(Map.Entry::getValue)
                .findFirst();
    }

    /** Returns the path without its query. */
    public String pathWithoutQuery() {
        int query = path.indexOf('?');
        return query < 0 ? path : path.substring(0, query);
    }
}
