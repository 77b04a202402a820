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
        if (pool.size() == 0) {
            return Optional.empty();
        }
        long keyHash = Rendezvous.hash(key);
        int best = 0;
        long bestWeight = Rendezvous.weight(keyHash, pool.idHash(0));
        for (int position = 1; position < pool.size(); position++) {
            long weight = Rendezvous.weight(keyHash, pool.idHash(position));
            int comparison = Long.compareUnsigned(weight, bestWeight);
            if (comparison > 0 || (comparison == 0 && idAt(pool, position).compareTo(idAt(pool, best)) < 0)) {
                best = position;
                bestWeight = weight;
            }
        }
        return Optional.of(pool.get(best));
    }

    private static String idAt(UpstreamPool pool, int position) {
        return pool.get(position).description().upstreamId();
    }
}
