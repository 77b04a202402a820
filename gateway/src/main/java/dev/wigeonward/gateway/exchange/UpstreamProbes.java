package dev.wigeonward.gateway.exchange;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

import dev.wigeonward.core.schedule.ServiceScheduler;
import dev.wigeonward.core.schedule.Upstream;
import dev.wigeonward.gateway.event.Telemetry;
import dev.wigeonward.gateway.upstream.UpstreamConnectionPool;
import dev.wigeonward.gateway.upstream.UpstreamConnectionPool.ProbeResult;

/** Probes of the upstreams that a scheduler has suspended, until they accept connections. Runs on the event loop. */
final class UpstreamProbes {
    private final UpstreamConnectionPool connections;
    private final Telemetry telemetry;
    private final Runnable onResumed;
    private final Set<String> probing = new HashSet<>();
    private final Set<String> loggedSuspended = new HashSet<>();

    /**
     * Creates probes without any upstream.
     *
     * @param onResumed action after an upstream may be used again
     */
    UpstreamProbes(UpstreamConnectionPool connections, Telemetry telemetry, Runnable onResumed) {
        this.connections = connections;
        this.telemetry = telemetry;
        this.onResumed = onResumed;
    }

    /** Probes each suspended upstream of the scheduler that is not being probed. */
    void check(ServiceScheduler scheduler) {
        for (Upstream upstream : scheduler.suspended()) {
            if (loggedSuspended.add(upstream.id())) {
                telemetry.log().warning("upstream_taken_out", "id=" + upstream.id());
            }
            if (probing.add(upstream.id())) {
                connections.closePooled(upstream);
                connections.probe(upstream, result -> onProbed(scheduler, upstream, result));
            }
        }
    }

    private void onProbed(ServiceScheduler scheduler, Upstream upstream, ProbeResult result) {
        probing.remove(upstream.id());
        if (result == ProbeResult.ACCEPTED) {
            scheduler.resume(upstream.id());
            loggedSuspended.remove(upstream.id());
            telemetry.log().info("upstream_back", "id=" + upstream.id());
            onResumed.run();
        }
    }

    /** Forgets the upstreams that are no longer listed. */
    void retainListed(Collection<Upstream> listed) {
        loggedSuspended.retainAll(listed.stream().map(Upstream::id).toList());
    }
}
