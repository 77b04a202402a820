package dev.wigeonward.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import dev.wigeonward.core.request.WorkEstimate;
import org.junit.jupiter.api.Test;

import static dev.wigeonward.core.placement.PlacementFixtures.pool;
import static dev.wigeonward.core.placement.PlacementFixtures.request;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class KeyAffinityTest {
    private static final int KEYS = 2_000;
    private static final int MEMBERS = 20;

    private interface MemberSelection {
        Optional<UpstreamLoadState> select(String key, UpstreamPool pool);
    }

    /** Faulty selection by the hash modulo the pool's size. */
    private static Optional<UpstreamLoadState> modulo(String key, UpstreamPool pool) {
        return Optional.of(pool.get(Math.floorMod(key.hashCode(), pool.size())));
    }

    /**
     * Guards against a resent request that reaches another agent because an unrelated one left the pool or because the
     * order of the pool differs.
     */
    private static void checkOnlyKeysOfRemovedMemberMove(MemberSelection selection) {
        UpstreamPool pool = pool(MEMBERS);
        Map<String, String> before = placements(selection, pool);
        pool.remove("upstream-3");
        Map<String, String> after = placements(selection, pool);
        before.forEach((key, upstream) -> {
            if (!upstream.equals("upstream-3")) {
                assertThat(after).containsEntry(key, upstream);
            }
        });
        pool.put(PlacementFixtures.upstream("upstream-3", 4, 100, PlacementFixtures.LOCAL));
        assertThat(placements(selection, pool)).isEqualTo(before);
    }

    private static Map<String, String> placements(MemberSelection selection, UpstreamPool pool) {
        Map<String, String> placements = new HashMap<>();
        for (int number = 0; number < KEYS; number++) {
            String key = "key-" + number;
            placements.put(
                    key, selection.select(key, pool).orElseThrow().description().upstreamId());
        }
        return placements;
    }

    @Test
    void onlyKeysOfRemovedMemberMove() {
        checkOnlyKeysOfRemovedMemberMove(KeyAffinity::select);
    }

    /** Guards against a check of the moved keys that cannot fail. */
    @Test
    void checkFailsForModuloHashing() {
        assertThatThrownBy(() -> checkOnlyKeysOfRemovedMemberMove(KeyAffinityTest::modulo))
                .isInstanceOf(AssertionError.class);
    }

    /** Guards against skewed weights: each member is expected to get 100 keys, with a standard deviation of 10. */
    @Test
    void keysAreSpreadEvenly() {
        Map<String, Integer> counts = new HashMap<>();
        placements(KeyAffinity::select, pool(MEMBERS)).values().forEach(each -> counts.merge(each, 1, Integer::sum));
        assertThat(counts).hasSize(MEMBERS);
        assertThat(counts.values()).allMatch(count -> count > 60 && count < 140);
    }

    /** Guards against placing requests without a key by affinity instead of the fallback policy. */
    @Test
    void requestsWithoutKeyUseTheFallbackPolicy() {
        Placement other = new Placement("other", 0, 1);
        PlacementPolicy policy = KeyAffinity.withFallback((request, pool, nowMillis) -> Optional.of(other));
        WorkEstimate work = new WorkEstimate(10, 10, 0);
        assertThat(policy.choose(request(Optional.empty(), work), pool(5), 0)).contains(other);
        assertThat(policy.choose(request(Optional.of("key"), work), pool(5), 0).map(Placement::upstreamId))
                .isEqualTo(KeyAffinity.select("key", pool(5))
                        .map(state -> state.description().upstreamId()));
    }
}
