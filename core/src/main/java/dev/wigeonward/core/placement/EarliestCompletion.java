package dev.wigeonward.core.placement;

import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import dev.wigeonward.core.request.EngineSpeed;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.WorkEstimate;

/**
 * Policy that chooses the earliest estimated completion among two random members and the recent holders of the
 * request's prefix. The random members prevent entries with equally old reports from all choosing the same upstream.
 * Takes time independent of the pool's size. Not thread-safe.
 */
public final class EarliestCompletion implements PlacementPolicy {
    /**
     * Limit on the holders examined, because a prefix that every upstream holds would make the decision linear in the
     * pool's size.
     */
    static final int MAX_HOLDERS_EXAMINED = 8;

    private final RandomGenerator random;
    private final PrefixIndex prefixIndex;
    private final DomainLatency latency;

    private EarliestCompletion(RandomGenerator random, PrefixIndex prefixIndex, DomainLatency latency) {
        this.random = Objects.requireNonNull(random, "random");
        this.prefixIndex = Objects.requireNonNull(prefixIndex, "prefixIndex");
        this.latency = Objects.requireNonNull(latency, "latency");
    }

    /**
     * Returns a policy that records each choice in the prefix index, because the engine caches the prefix when it runs
     * the request, and the cache event of the engine arrives late.
     */
    public static EarliestCompletion create(RandomGenerator random, PrefixIndex prefixIndex, DomainLatency latency) {
        return new EarliestCompletion(random, prefixIndex, latency);
    }

    @Override
    public Optional<Placement> choose(RequestSpec request, UpstreamPool pool, long nowMillis) {
        int size = pool.size();
        if (size == 0) {
            return Optional.empty();
        }
        int first = random.nextInt(size);
        Placement best = estimate(request, pool.get(first), nowMillis);
        if (size > 1) {
            int second = random.nextInt(size - 1);
            best = earlier(best, estimate(request, pool.get(second < first ? second : second + 1), nowMillis));
        }
        long prefixHash = request.work().prefixHash();
        if (prefixHash == 0) {
            return Optional.of(best);
        }
        for (String holder : prefixIndex.recentHolders(prefixHash, MAX_HOLDERS_EXAMINED)) {
            Optional<UpstreamLoadState> state = pool.find(holder);
            if (state.isPresent()) {
                best = earlier(best, estimate(request, state.get(), nowMillis));
            }
        }
        prefixIndex.onPlaced(best.upstreamId(), prefixHash);
        return Optional.of(best);
    }

    private Placement estimate(RequestSpec request, UpstreamLoadState state, long nowMillis) {
        UpstreamDescription description = state.description();
        WorkEstimate work = request.work();
        EngineSpeed speed = description.speed();
        long serviceMillis = work.serviceMillis(speed);
        if (work.prefixHash() != 0 && prefixIndex.holds(description.upstreamId(), work.prefixHash())) {
            serviceMillis = Math.max(1, serviceMillis - PrefixIndex.savedMillis(work, speed));
        }
        long waitMillis = state.waitMillis(nowMillis) + latency.extraMillis(description.failureDomain());
        return new Placement(description.upstreamId(), waitMillis, serviceMillis);
    }

    private static Placement earlier(Placement first, Placement second) {
        return second.completionMillis() < first.completionMillis() ? second : first;
    }
}
