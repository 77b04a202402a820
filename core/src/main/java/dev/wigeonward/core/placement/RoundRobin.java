package dev.wigeonward.core.placement;

import java.util.Optional;

import dev.wigeonward.core.request.RequestSpec;

/** Baseline: the members in turn, blind to load. */
public final class RoundRobin implements PlacementPolicy {
    private int next;

    private RoundRobin() {}

    /** Returns a policy that starts at the first member. */
    public static RoundRobin create() {
        return new RoundRobin();
    }

    @Override
    public Optional<Placement> choose(RequestSpec request, UpstreamPool pool, long nowMillis) {
        if (pool.size() == 0) {
            return Optional.empty();
        }
        next = (next + 1) % pool.size();
        UpstreamState state = pool.get(next);
        long serviceMillis = request.work().serviceMillis(state.description().speed());
        return Optional.of(new Placement(state.description().upstreamId(), state.waitMillis(nowMillis), serviceMillis));
    }
}
