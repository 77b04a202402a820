package dev.wigeonward.gateway.exchange;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** Headers that concern one connection only. */
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

    /** Removes them, and those that the connection header names. */
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
