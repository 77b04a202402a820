package dev.wigeonward.gateway.port;

import java.util.Optional;

import dev.wigeonward.core.schedule.Upstream;

/**
 * What an upstream is told about one dispatch.
 *
 * @param remainingMillis time left until the caller's deadline
 * @param tenant name of the caller's tenant
 * @param lastEventId event after which a broken stream goes on
 */
public record UpstreamCall(
        Upstream upstream, long remainingMillis, Optional<String> tenant, Optional<String> lastEventId) {}
