package dev.wigeonward.gateway.exchange;

import dev.wigeonward.core.error.ErrorKind;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Where the answer to one request goes; called on the event loop. */
public interface AnswerSink {
    /** Answers with an error of this process; nothing was sent before. */
    void refuse(ErrorKind kind, long retryAfterMillis);

    /** Starts to pass an upstream's answer on. */
    void head(HttpResponse head);

    /** Passes bytes of the body on; the callee releases them. */
    void content(ByteBuf bytes);

    /** Ends a complete answer. */
    void end();

    /** Closes the caller's connection, so that an incomplete answer does not look complete. */
    void abort();

    /** Returns whether the caller reads fast enough for more bytes. */
    boolean writable();
}
