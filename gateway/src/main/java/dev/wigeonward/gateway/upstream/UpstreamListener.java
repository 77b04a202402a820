package dev.wigeonward.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives what an upstream answers to one request; called on the event loop. */
public interface UpstreamListener {
    /** The head of an answer on this connection came; returns false if it does not answer this request. */
    boolean onHead(HttpResponse head);

    /** Bytes of the body came; the callee releases them. */
    void onContent(ByteBuf bytes);

    /** The answer is complete. */
    void onComplete();

    /** No complete answer will come. */
    void onBroken(Breakage breakage, String reason);

    /** What had happened to the request when its connection broke. */
    enum Breakage {
        /** No connection was made. */
        NO_CONNECTION,
        /** A kept connection was closed before the request was written to it. */
        NOT_SENT,
        /** Some of the request may have reached the upstream. */
        SENT
    }
}
