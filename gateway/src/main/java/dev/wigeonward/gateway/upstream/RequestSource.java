package dev.wigeonward.gateway.upstream;

import java.util.Optional;

import io.netty.handler.codec.http.FullHttpRequest;

/** Source of a request, asked at the moment at which the request can be written. */
public interface RequestSource {
    /** Returns the request to be written to the connection now, or empty if it must not be sent any more. */
    Optional<FullHttpRequest> requestOn(UpstreamConnection connection);

    /** Called in place of {@link #requestOn} if there is no connection. */
    default void discard() {}
}
