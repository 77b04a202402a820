package dev.wigeonward.core.schedule;

import java.util.List;
import java.util.Optional;

/** Policy that chooses the upstream of a request. Not thread-safe. */
public interface UpstreamChoice {
    /**
     * Returns the upstream for the request, or empty if the request should wait for a better one.
     *
     * @param available upstreams that may take the request now
     * @param maxWaitMillis longest time from its arrival that the request may wait
     */
    Optional<AvailableUpstream> choose(
            ScheduledRequest request, List<AvailableUpstream> available, long maxWaitMillis, SchedulingRound round);
}
