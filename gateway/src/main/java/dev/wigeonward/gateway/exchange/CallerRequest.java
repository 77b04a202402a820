package dev.wigeonward.gateway.exchange;

import dev.wigeonward.gateway.port.CallerHead;
import io.netty.handler.codec.http.HttpRequest;

/**
 * A fully received request of a caller.
 *
 * @param receivedAtMillis time at which its last byte was read
 * @param arrivedAtMillis earliest time at which its head may have arrived, from which the caller's deadline counts
 */
public record CallerRequest(
        HttpRequest head, CallerHead callerHead, RequestBody body, long receivedAtMillis, long arrivedAtMillis) {
    /** Returns the time at which the caller's deadline or the timeout of the route ends, whichever is earlier. */
    public long deadlineAtMillis(long timeoutMillis) {
        long timeoutAtMillis = receivedAtMillis + timeoutMillis;
        return callerHead.deadlineMillis().isEmpty()
                ? timeoutAtMillis
                : Math.min(
                        timeoutAtMillis,
                        arrivedAtMillis + callerHead.deadlineMillis().getAsLong());
    }

    /** Returns the path without the query. */
    public String path() {
        int query = head.uri().indexOf('?');
        return query < 0 ? head.uri() : head.uri().substring(0, query);
    }
}
