package dev.wigeonward.gateway.exchange;

import dev.wigeonward.gateway.port.CallerHead;
import io.netty.handler.codec.http.HttpRequest;

/** A fully received request of a caller. */
public record CallerRequest(HttpRequest head, CallerHead callerHead, RequestBody body, long receivedAtMillis) {
    /** Returns the path without the query. */
    public String path() {
        int query = head.uri().indexOf('?');
        return query < 0 ? head.uri() : head.uri().substring(0, query);
    }
}
