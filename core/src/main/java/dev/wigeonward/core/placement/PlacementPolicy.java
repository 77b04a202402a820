package dev.wigeonward.core.placement;

import java.util.Optional;

import dev.wigeonward.core.request.RequestSpec;

/** Chooses an upstream for a request. */
public interface PlacementPolicy {
    /** Returns the choice among the pool's members, or empty if the pool is empty. */
    Optional<Placement> choose(RequestSpec request, UpstreamPool pool, long nowMillis);
}
