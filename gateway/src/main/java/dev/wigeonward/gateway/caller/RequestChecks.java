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

/** Checks on the head of a request that do not depend on the configuration of routes. */
final class RequestChecks {
    private RequestChecks() {}

    /** Returns why the head must be refused, or empty if it is sound. */
    static Optional<ErrorKind> problem(HttpRequest head, long maxBodyBytes) {
        if (head.decoderResult().isFailure()) {
            return Optional.of(
                    head.decoderResult().cause() instanceof TooLongFrameException
                            ? ErrorKind.HEADERS_TOO_LARGE
                            : ErrorKind.MALFORMED_REQUEST);
        }
        if (!soundFraming(head) || !soundTarget(head)) {
            return Optional.of(ErrorKind.MALFORMED_REQUEST);
        }
        OptionalLong length = HttpUtil.isContentLengthSet(head)
                ? OptionalLong.of(HttpUtil.getContentLength(head))
                : OptionalLong.empty();
        return length.isPresent() && length.getAsLong() > maxBodyBytes
                ? Optional.of(ErrorKind.BODY_TOO_LARGE)
                : Optional.empty();
    }

    /** A transfer coding other than chunked alone, or one in HTTP/1.0, can be read as another length by an upstream. */
    private static boolean soundFraming(HttpRequest head) {
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (codings.isEmpty()) {
            return true;
        }
        return codings.size() == 1
                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                        codings.get(0).strip())
                && head.protocolVersion().equals(HttpVersion.HTTP_1_1);
    }

    private static boolean soundTarget(HttpRequest head) {
        return head.uri().startsWith("/")
                && head.headers().getAll(HttpHeaderNames.HOST).size() == 1;
    }
}
