package dev.wigeonward.entry.caller;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * An HTTP request of a caller with its complete body.
 *
 * @param headers all headers, including those that are not forwarded to the upstream
 */
public record CallerRequest(String method, String path, List<Map.Entry<String, String>> headers, byte[] body) {
    public CallerRequest {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        headers = List.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }

    /** Returns the first value of a header, or empty if there is none; the name is case-insensitive. */
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
