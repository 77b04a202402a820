package dev.wigeonward.gateway.port;

import java.util.Optional;

import dev.wigeonward.core.schedule.Upstream;

/**
 * Information about one dispatch that is sent to the upstream.
 *
 * @param attemptId identifier of the request that the upstream repeats in its answer
 * @param remainingMillis time left until the caller's deadline
 * @param workspace name of the caller's workspace
 * @param lastEventId identifier of the event after which a broken stream is resumed
 */
public record UpstreamCall(
        Upstream upstream,
        Optional<String> attemptId,
        long remainingMillis,
        Optional<String> workspace,
        Optional<String> lastEventId) {}
