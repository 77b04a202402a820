package dev.wigeonward.core.placement;

import java.util.Optional;

import dev.wigeonward.core.request.RequestSpec;

/** Baseline policy that chooses the members in turn, regardless of their load. */
public final class RoundRobin implements PlacementPolicy {
    private int next;

    private RoundRobin() {}

    /** Returns a new policy. */
    public static RoundRobin create() {
        return new RoundRobin();
    }

    @Override
    public Optional<Placement> choose(RequestSpec request, UpstreamPool pool, long nowMillis) {
        if (pool.size() == 0) {
            return Optional.empty();
        }
        next = (next + 1) % pool.size();
        UpstreamLoadState state = pool.get(next);
        long serviceMillis = request.work().serviceMillis(state.description().speed());
        return Optional.of(new Placement(state.description().upstreamId(), state.waitMillis(nowMillis), serviceMillis));
    }
}
