package dev.wigeonward.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receiver of an upstream's answer to one request. All methods are called on the event loop. */
public interface UpstreamListener {
    /**
     * Receives the head of an answer.
     *
     * @param use use of the connection up to this request
     */
    HeadAction onHead(HttpResponse head, ConnectionUse use);

    /** Receives bytes of the body; the callee releases them. */
    void onContent(ByteBuf bytes);

    /** Called after an accepted answer was received completely. */
    void onComplete();

    /** Called when the request ends without a complete answer. */
    void onFailed(FailurePoint failurePoint, String reason);

    /** What the connection does with the rest of an answer. */
    enum HeadAction {
        /** The listener receives the rest. */
        ACCEPT,
        /** The answer belongs to another request; it is skipped, and the answer to this request is awaited. */
        SKIP,
        /** The listener needs nothing more; it is not called again. */
        DISCARD,
        /** The listener needs nothing more, and the connection cannot be used again. */
        CLOSE
    }

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
