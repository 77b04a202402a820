package dev.wigeonward.gateway.port;

import io.netty.handler.codec.http.HttpHeaders;

/** The meaning of the headers of one platform. Implementations are stateless. */
public interface HttpDialect {
    /** Returns what the headers of a caller's request say; malformed values count as absent. */
    CallerHead readCaller(HttpHeaders headers);

    /** Replaces in a copy of the caller's headers all that only the system may set. */
    void writeUpstream(HttpHeaders headers, UpstreamCall call);

    /** Returns what the headers of an upstream's answer say. */
    AnswerHead readAnswer(int status, HttpHeaders headers);
}
