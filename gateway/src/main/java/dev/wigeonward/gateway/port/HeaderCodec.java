package dev.wigeonward.gateway.port;

import io.netty.handler.codec.http.HttpHeaders;

/** Translation of the HTTP headers of one platform. Implementations are stateless. */
public interface HeaderCodec {
    /** Returns the information in the headers of a caller's request; malformed values count as absent. */
    CallerHead readCaller(HttpHeaders headers);

    /** Replaces all headers that only the system may set, in a copy of the caller's headers. */
    void writeUpstream(HttpHeaders headers, UpstreamCall call);

    /** Returns the information in the headers of an upstream's answer; malformed values count as absent. */
    AnswerHead readAnswer(int status, HttpHeaders headers);

    /** Removes the headers of an upstream's answer that are meant for the entry and not for the caller. */
    void removeNotices(HttpHeaders headers);
}
