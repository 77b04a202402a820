package dev.wigeonward.core.placement;

import java.util.Optional;

import dev.wigeonward.core.request.RequestSpec;

/**
 * Baseline policy that chooses the member with the fewest outstanding requests of this entry. Takes time linear in the
 * pool's size.
 */
public final class LeastOutstanding implements PlacementPolicy {
    private LeastOutstanding() {}

    /** Returns a new policy. */
    public static LeastOutstanding create() {
        return new LeastOutstanding();
    }

    @Override
    public Optional<Placement> choose(RequestSpec request, UpstreamPool pool, long nowMillis) {
        UpstreamLoadState best = null;
        for (int position = 0; position < pool.size(); position++) {
            UpstreamLoadState state = pool.get(position);
            if (best == null || state.ownOutstanding() < best.ownOutstanding()) {
                best = state;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        long serviceMillis = request.work().serviceMillis(best.description().speed());
        return Optional.of(new Placement(best.description().upstreamId(), best.waitMillis(nowMillis), serviceMillis));
    }
}
