package dev.wigeonward.measure.placement;

import java.util.List;
import java.util.Random;

import dev.wigeonward.core.placement.DomainLatency;
import dev.wigeonward.core.placement.LoadReport;
import dev.wigeonward.core.placement.Placement;
import dev.wigeonward.core.placement.PlacementPolicy;
import dev.wigeonward.core.placement.PrefixIndex;
import dev.wigeonward.core.placement.UpstreamPool;
import dev.wigeonward.core.placement.UpstreamState;

/** An entry that knows its own dispatches and the reports that reached it, and nothing of other entries. */
final class SimulatedEntry {
    private final String domain;
    private final UpstreamPool pool = UpstreamPool.create();
    private final PrefixIndex prefixes = PrefixIndex.create();
    private final PlacementPolicy policy;

    SimulatedEntry(
            PlacementSimulation.PolicyFactory factory, String domain, List<SimulatedUpstream> upstreams, long seed) {
        this.domain = domain;
        upstreams.forEach(upstream -> pool.put(UpstreamState.of(upstream.description())));
        DomainLatency latency = DomainLatency.uniform(domain, PlacementSimulation.REMOTE_EXTRA_MILLIS);
        this.policy = factory.create(new Random(seed), prefixes, latency);
    }

    String domain() {
        return domain;
    }

    Choice place(SimulatedRequest request, long nowMillis) {
        Placement placement = policy.choose(request.spec(), pool, nowMillis).orElseThrow();
        UpstreamState state = pool.find(placement.upstreamId()).orElseThrow();
        state.onDispatched(placement.serviceMillis());
        return new Choice(placement, state);
    }

    void onReport(SimulatedUpstream upstream, LoadReport report, long nowMillis) {
        String upstreamId = upstream.description().upstreamId();
        pool.find(upstreamId).ifPresent(state -> {
            state.onReport(report, nowMillis);
            prefixes.onReport(upstreamId, report);
        });
    }

    /** A choice and the state that counts it. */
    record Choice(Placement placement, UpstreamState state) {}
}
