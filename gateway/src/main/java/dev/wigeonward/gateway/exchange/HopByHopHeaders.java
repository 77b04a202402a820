package dev.wigeonward.gateway.exchange;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** HTTP headers that apply to a single connection and must not be forwarded. */
final class HopByHopHeaders {
    private static final List<CharSequence> NAMES = List.of(
            HttpHeaderNames.CONNECTION,
            "keep-alive",
            HttpHeaderNames.PROXY_AUTHENTICATE,
            HttpHeaderNames.PROXY_AUTHORIZATION,
            "proxy-connection",
            HttpHeaderNames.TE,
            HttpHeaderNames.TRAILER,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.UPGRADE);

    private HopByHopHeaders() {}

    /** Removes the hop-by-hop headers, including those named in the connection header. */
    static void remove(HttpHeaders headers) {
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                String trimmed = name.strip();
                if (!trimmed.isEmpty() && !trimmed.equalsIgnoreCase("close")) {
                    headers.remove(trimmed);
                }
            }
        }
        NAMES.forEach(headers::remove);
    }
}
