package dev.wigeonward.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receiver of an upstream's answer to one request. All methods are called on the event loop. */
public interface UpstreamListener {
    /** Receives the head of an answer; returns false if the answer belongs to another request and is to be skipped. */
    boolean onHead(HttpResponse head);

    /** Receives bytes of the body; the callee releases them. */
    void onContent(ByteBuf bytes);

    /** Called after the answer was received completely. */
    void onComplete();

    /** Called when the request ends without a complete answer. */
    void onFailed(FailurePoint failurePoint, String reason);

    /** Progress of the request when its connection broke. */
    enum FailurePoint {
        /** No connection was established. */
        NO_CONNECTION,
        /** A pooled connection was closed before the request was written to it. */
        NOT_SENT,
        /** Some of the request may have reached the upstream. */
        SENT
    }
}
