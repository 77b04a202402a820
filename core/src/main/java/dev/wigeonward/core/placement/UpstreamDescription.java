package dev.wigeonward.core.placement;

import java.util.Objects;

import com.google.common.base.Preconditions;
import dev.wigeonward.core.request.EngineSpeed;

/**
 * Description of an upstream, announced by the agent on the same VM.
 *
 * @param upstreamId identifier of the upstream, stable across restarts of its agent
 * @param incarnation identifier of the agent's process lifetime, generated at each start
 * @param target name of the model or plain service
 * @param version version of the backend
 * @param failureDomain failure domain of the VM
 * @param slots number of requests that the upstream runs concurrently
 * @param speed speed of a single stream
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
        Preconditions.checkArgument(!upstreamId.isEmpty(), "upstreamId must not be empty");
        Preconditions.checkArgument(!target.isEmpty(), "target of upstream %s must not be empty", upstreamId);
        Preconditions.checkArgument(slots > 0, "slots of upstream %s must be positive but was %s", upstreamId, slots);
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(speed, "speed");
    }
}
