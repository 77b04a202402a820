package dev.wigeonward.core.placement;

import java.util.Optional;

import dev.wigeonward.core.request.RequestSpec;

/** Policy that chooses an upstream for a request. */
public interface PlacementPolicy {
    /** Returns a placement on one of the pool's members, or empty if the pool is empty. */
    Optional<Placement> choose(RequestSpec request, UpstreamPool pool, long nowMillis);
}
