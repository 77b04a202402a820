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

/** The answers of this process itself, from the closed list of error kinds. */
final class ErrorAnswers {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private ErrorAnswers() {}

    /** Returns the answer for a kind, with the time after which the caller may come back if that is positive. */
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

    /** A suspect request is proper, so it gets the promise that it did not run and no status that blames the caller. */
    private static int status(ErrorKind kind) {
        return kind == ErrorKind.SUSPECT ? HttpResponseStatus.SERVICE_UNAVAILABLE.code() : kind.httpStatus();
    }
}
