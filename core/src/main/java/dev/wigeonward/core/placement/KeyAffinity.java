package dev.wigeonward.core.placement;

import java.util.Objects;
import java.util.Optional;

import dev.wigeonward.core.request.RequestSpec;

/**
 * Places idempotent requests with a key by rendezvous hashing of the key, so that a resend reaches the agent that
 * already knows it, and all other requests by another policy. A member's leaving moves only the keys placed at it.
 * Takes time linear in the pool's size for requests with a key.
 */
public final class KeyAffinity implements PlacementPolicy {
    private final PlacementPolicy otherwise;

    private KeyAffinity(PlacementPolicy otherwise) {
        this.otherwise = Objects.requireNonNull(otherwise, "otherwise");
    }

    /** Returns the policy; {@code otherwise} places requests without a key and non-idempotent ones. */
    public static KeyAffinity or(PlacementPolicy otherwise) {
        return new KeyAffinity(otherwise);
    }

    @Override
    public Optional<Placement> choose(RequestSpec request, UpstreamPool pool, long nowMillis) {
        if (request.key().isEmpty() || !request.idempotent()) {
            return otherwise.choose(request, pool, nowMillis);
        }
        return member(request.key().get(), pool).map(state -> {
            long serviceMillis =
                    request.work().serviceMillis(state.description().speed());
            return new Placement(state.description().upstreamId(), state.waitMillis(nowMillis), serviceMillis);
        });
    }

    /** Returns the pool's member of highest weight for the key, or empty if the pool is empty. */
    public static Optional<UpstreamState> member(String key, UpstreamPool pool) {
        return pool.size() == 0 ? Optional.empty() : Optional.of(pool.get(pool.heaviest(Rendezvous.hash(key))));
    }
}
