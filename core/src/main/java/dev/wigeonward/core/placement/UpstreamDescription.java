package dev.wigeonward.core.placement;

import java.util.Objects;

import com.google.common.base.Preconditions;
import dev.wigeonward.core.request.EngineSpeed;

/**
 * What an agent announces about the upstream beside it.
 *
 * @param upstreamId name of the upstream, stable over restarts of its agent
 * @param incarnation made anew at each start of the agent
 * @param target model or plain service
 * @param version version of the back end
 * @param failureDomain failure domain of the VM
 * @param slots requests that the upstream runs at once
 * @param speed speed of one stream
 */
public record UpstreamDescription(
        String upstreamId,
        long incarnation,
        String target,
        String version,
        String failureDomain,
        int slots,
        EngineSpeed speed) {
    public UpstreamDescription {
        Preconditions.checkArgument(!upstreamId.isEmpty(), "upstreamId is empty");
        Preconditions.checkArgument(!target.isEmpty(), "target is empty");
        Preconditions.checkArgument(slots > 0, "slots is %s", slots);
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(speed, "speed");
    }
}
