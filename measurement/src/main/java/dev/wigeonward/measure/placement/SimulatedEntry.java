package dev.wigeonward.measure.placement;

import java.util.List;
import java.util.Random;

import dev.wigeonward.core.placement.DomainLatency;
import dev.wigeonward.core.placement.LoadReport;
import dev.wigeonward.core.placement.Placement;
import dev.wigeonward.core.placement.PlacementPolicy;
import dev.wigeonward.core.placement.PrefixIndex;
import dev.wigeonward.core.placement.UpstreamLoadState;
import dev.wigeonward.core.placement.UpstreamPool;

/** A simulated entry that knows only its own dispatches and the load reports that it received. */
final class SimulatedEntry {
    private final String domain;
    private final UpstreamPool pool = UpstreamPool.create();
    private final PrefixIndex prefixes = PrefixIndex.create();
    private final PlacementPolicy policy;

    SimulatedEntry(
            PlacementSimulation.PolicyFactory factory, String domain, List<SimulatedUpstream> upstreams, long seed) {
        this.domain = domain;
        upstreams.forEach(upstream -> pool.put(UpstreamLoadState.of(upstream.description())));
        DomainLatency latency = DomainLatency.uniform(domain, PlacementSimulation.REMOTE_EXTRA_MILLIS);
        this.policy = factory.create(new Random(seed), prefixes, latency);
    }

    String domain() {
        return domain;
    }

    /** Chooses an upstream for the request and counts the request as dispatched to it. */
    Choice place(SimulatedRequest request, long nowMillis) {
        Placement placement = policy.choose(request.spec(), pool, nowMillis).orElseThrow();
        UpstreamLoadState state = pool.find(placement.upstreamId()).orElseThrow();
        state.onDispatched(placement.serviceMillis());
        return new Choice(placement, state);
    }

    /** Updates the state of the upstream, if the entry is linked to it. */
    void onReport(SimulatedUpstream upstream, LoadReport report, long nowMillis) {
        String upstreamId = upstream.description().upstreamId();
        pool.find(upstreamId).ifPresent(state -> {
            state.onReport(report, nowMillis);
            prefixes.onReport(upstreamId, report);
        });
    }

    /** A placement and the state of the chosen upstream, which counts the request. */
    record Choice(Placement placement, UpstreamLoadState state) {}
}
