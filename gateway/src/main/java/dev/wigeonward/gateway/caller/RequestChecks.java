package dev.wigeonward.gateway.caller;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import dev.wigeonward.core.error.ErrorKind;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/** Checks of a request head that are independent of the configured routes. */
final class RequestChecks {
    private RequestChecks() {}

    /** Returns the error for which the head must be refused, or empty if it is valid. */
    static Optional<ErrorKind> problem(HttpRequest head, long maxBodyBytes) {
        if (head.decoderResult().isFailure()) {
            return Optional.of(
                    head.decoderResult().cause() instanceof TooLongFrameException
                            ? ErrorKind.HEADERS_TOO_LARGE
                            : ErrorKind.MALFORMED_REQUEST);
        }
        if (!hasValidFraming(head) || !hasValidTarget(head)) {
            return Optional.of(ErrorKind.MALFORMED_REQUEST);
        }
        OptionalLong length = HttpUtil.isContentLengthSet(head)
                ? OptionalLong.of(HttpUtil.getContentLength(head))
                : OptionalLong.empty();
        return length.isPresent() && length.getAsLong() > maxBodyBytes
                ? Optional.of(ErrorKind.BODY_TOO_LARGE)
                : Optional.empty();
    }

    /**
     * Returns whether the length of the body is unambiguous. With a transfer coding other than a single chunked one, or
     * with one in HTTP/1.0, an upstream could read another length.
     */
    private static boolean hasValidFraming(HttpRequest head) {
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (codings.isEmpty()) {
            return true;
        }
        return codings.size() == 1
                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                        codings.get(0).strip())
                && head.protocolVersion().equals(HttpVersion.HTTP_1_1);
    }

    private static boolean hasValidTarget(HttpRequest head) {
        return head.uri().startsWith("/")
                && head.headers().getAll(HttpHeaderNames.HOST).size() == 1;
    }
}
