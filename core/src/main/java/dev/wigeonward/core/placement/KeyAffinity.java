package dev.wigeonward.core.placement;

import java.util.Objects;
import java.util.Optional;

import dev.wigeonward.core.request.RequestSpec;

/**
 * Policy that places idempotent requests with a key by rendezvous hashing of the key and all others by a fallback
 * policy. A resent request thus reaches the agent that already has it. Removing a member reassigns only the keys placed
 * at it. Takes time linear in the pool's size for requests with a key.
 */
public final class KeyAffinity implements PlacementPolicy {
    private final PlacementPolicy fallback;

    private KeyAffinity(PlacementPolicy fallback) {
        this.fallback = Objects.requireNonNull(fallback, "fallback");
    }

    /** Returns a policy that delegates requests without a key and non-idempotent requests to {@code fallback}. */
    public static KeyAffinity withFallback(PlacementPolicy fallback) {
        return new KeyAffinity(fallback);
    }

    @Override
    public Optional<Placement> choose(RequestSpec request, UpstreamPool pool, long nowMillis) {
        if (request.key().isEmpty() || !request.idempotent()) {
            return fallback.choose(request, pool, nowMillis);
        }
        return select(request.key().get(), pool).map(state -> {
            long serviceMillis =
                    request.work().serviceMillis(state.description().speed());
            return new Placement(state.description().upstreamId(), state.waitMillis(nowMillis), serviceMillis);
        });
    }

    /** Returns the member of the pool with the highest weight for the key, or empty if the pool is empty. */
    public static Optional<UpstreamLoadState> select(String key, UpstreamPool pool) {
        return pool.size() == 0 ? Optional.empty() : Optional.of(pool.get(pool.heaviest(Rendezvous.hash(key))));
    }
}
