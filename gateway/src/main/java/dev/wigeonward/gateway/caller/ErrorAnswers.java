package dev.wigeonward.gateway.caller;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

import dev.wigeonward.core.error.ErrorKind;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/** Factory for error answers of this process, one for each error kind. */
final class ErrorAnswers {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private ErrorAnswers() {}

    /** Returns the answer for an error kind, with a Retry-After header if the given time is positive. */
    static FullHttpResponse of(ErrorKind kind, long retryAfterMillis) {
        String text = "{\"error\":\"%s\",\"run_state\":\"%s\",\"retryable\":%s}"
                .formatted(kind.wireName(), kind.runState().wireName(), kind.retryable());
        ByteBuf body = Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
        FullHttpResponse answer =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status(kind)), body);
        answer.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        if (retryAfterMillis > 0) {
            answer.headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            String.format(Locale.ROOT, "%.3f", retryAfterMillis / MILLIS_PER_SECOND));
        }
        return answer;
    }

    /**
     * Returns the status of an error kind. A suspect request is well-formed, so it gets the status that promises that
     * it did not run instead of one that states a fault of the caller.
     */
    private static int status(ErrorKind kind) {
        return kind == ErrorKind.SUSPECT ? HttpResponseStatus.SERVICE_UNAVAILABLE.code() : kind.httpStatus();
    }
}
