package dev.wigeonward.gateway.exchange;

import dev.wigeonward.core.error.ErrorKind;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receiver of the answer to one request. All methods are called on the event loop. */
public interface AnswerSink {
    /** Answers with an error of this process. Must not be called after {@link #head}. */
    void refuse(ErrorKind kind, long retryAfterMillis);

    /** Writes the head of an upstream's answer. */
    void head(HttpResponse head);

    /** Writes bytes of the body; the callee releases them. */
    void content(ByteBuf bytes);

    /** Completes the answer. */
    void end();

    /** Closes the caller's connection, so that an incomplete answer does not look complete. */
    void abort();

    /** Returns whether the write buffer of the caller's connection has room for more bytes. */
    boolean writable();
}
