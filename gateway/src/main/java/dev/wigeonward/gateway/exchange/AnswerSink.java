package dev.wigeonward.gateway.exchange;

import dev.wigeonward.core.error.ErrorKind;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receiver of the answer to one request. All methods are called on the event loop. */
public interface AnswerSink {
    /** Answers with an error of this process. Must not be called after {@link #writeHead}. */
    void writeError(ErrorKind kind, long retryAfterMillis);

    /** Writes the head of an upstream's answer. */
    void writeHead(HttpResponse head);

    /** Writes bytes of the body; the callee releases them. */
    void writeContent(ByteBuf bytes);

    /** Completes the answer. */
    void complete();

    /** Closes the caller's connection, so that an incomplete answer does not look complete. */
    void abort();

    /** Returns whether the caller's connection is open, as far as it has been read. */
    boolean connected();

    /** Returns whether the write buffer of the caller's connection has room for more bytes. */
    boolean writable();
}
