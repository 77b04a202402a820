package dev.wigeonward.core.placement;

import java.util.Random;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static dev.wigeonward.core.placement.PlacementFixtures.LOCAL;
import static dev.wigeonward.core.placement.PlacementFixtures.REMOTE;
import static dev.wigeonward.core.placement.PlacementFixtures.pool;
import static dev.wigeonward.core.placement.PlacementFixtures.request;
import static dev.wigeonward.core.placement.PlacementFixtures.upstream;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class EarliestCompletionTest {
    private static final long PREFIX = 7;

    private interface PolicyFactory {
        PlacementPolicy create(RandomGenerator random, PrefixIndex prefixIndex);
    }

    private static PlacementPolicy real(RandomGenerator random, PrefixIndex prefixIndex) {
        return EarliestCompletion.create(random, prefixIndex, DomainLatency.uniform(LOCAL, 10));
    }

    /** Faulty policy that always chooses a holder of the prefix, regardless of its queue. */
    private static PlacementPolicy alwaysHolder(RandomGenerator random, PrefixIndex prefixIndex) {
        PlacementPolicy real = real(random, prefixIndex);
        return (request, pool, nowMillis) -> prefixIndex
                .recentHolders(request.work().prefixHash(), 1)
                .stream()
                .findFirst()
                .map(holder -> new Placement(holder, 0, 1))
                .or(() -> real.choose(request, pool, nowMillis));
    }

    /**
     * Guards against choosing a prefix holder whose queue costs more than the prefill it saves, and against passing
     * over a holder whose queue costs less.
     */
    private static void checkHolderTradeoff(PolicyFactory factory, int queuedRequests, int promptTokens) {
        UpstreamPool pool = pool(2);
        PrefixIndex prefixIndex = PrefixIndex.create();
        prefixIndex.onPlaced("upstream-0", PREFIX);
        UpstreamLoadState holder = pool.get(0);
        IntStream.range(0, queuedRequests).forEach(each -> holder.onDispatched(400));
        long queueMillis = holder.waitMillis(0);
        long savedMillis = promptTokens / 2;
        String chosen = factory.create(new Random(1), prefixIndex)
                .choose(request(promptTokens, PREFIX), pool, 0)
                .orElseThrow()
                .upstreamId();
        if (queueMillis > savedMillis) {
            assertThat(chosen).isEqualTo("upstream-1");
        } else if (queueMillis < savedMillis) {
            assertThat(chosen).isEqualTo("upstream-0");
        }
    }

    @Property
    void holderIsChosenOnlyWhenItsQueueCostsLessThanTheSavedPrefill(
            @ForAll @IntRange(max = 40) int queued, @ForAll @IntRange(min = 2, max = 8_000) int promptTokens) {
        checkHolderTradeoff(EarliestCompletionTest::real, queued, promptTokens);
    }

    /** Guards against a check of the choice between holders and other members that cannot fail. */
    @Test
    void checkFailsForPolicyThatAlwaysChoosesTheHolder() {
        assertThatThrownBy(() -> checkHolderTradeoff(EarliestCompletionTest::alwaysHolder, 40, 100))
                .isInstanceOf(AssertionError.class);
    }

    /** Guards against a policy that ignores differences in speed or the latency of remote domains. */
    @Test
    void fasterAndNearerUpstreamsAreChosen() {
        UpstreamPool speeds = UpstreamPool.create();
        speeds.put(upstream("slow", 4, 100, LOCAL));
        speeds.put(upstream("fast", 4, 200, LOCAL));
        UpstreamPool domains = UpstreamPool.create();
        domains.put(upstream("remote", 4, 100, REMOTE));
        domains.put(upstream("local", 4, 100, LOCAL));
        PlacementPolicy policy = real(new Random(1), PrefixIndex.create());
        for (int run = 0; run < 20; run++) {
            assertThat(policy.choose(request(100, 0), speeds, 0).orElseThrow().upstreamId())
                    .isEqualTo("fast");
            assertThat(policy.choose(request(100, 0), domains, 0).orElseThrow().upstreamId())
                    .isEqualTo("local");
        }
    }

    /** Guards against a failure when the pool is empty, has one member, or no longer contains the prefix holder. */
    @Test
    void smallPoolsAndRemovedHoldersAreHandled() {
        PrefixIndex prefixIndex = PrefixIndex.create();
        prefixIndex.onPlaced("departed", PREFIX);
        PlacementPolicy policy = real(new Random(1), prefixIndex);
        assertThat(policy.choose(request(100, PREFIX), pool(0), 0)).isEmpty();
        assertThat(policy.choose(request(100, PREFIX), pool(1), 0).orElseThrow().upstreamId())
                .isEqualTo("upstream-0");
    }

    /**
     * Guards against a decision that reads the whole pool instead of two random members and a limited number of
     * holders.
     */
    @Test
    void examinesABoundedNumberOfMembers() {
        UpstreamPool pool = pool(1_000);
        PrefixIndex prefixIndex = PrefixIndex.create();
        IntStream.range(0, 1_000).forEach(number -> prefixIndex.onPlaced("upstream-" + number, PREFIX));
        int[] draws = {0};
        RandomGenerator counting = () -> {
            draws[0]++;
            return 42L * draws[0];
        };
        real(counting, prefixIndex).choose(request(100, PREFIX), pool, 0);
        assertThat(draws[0]).isLessThanOrEqualTo(4);
        assertThat(prefixIndex.recentHolders(PREFIX, EarliestCompletion.MAX_HOLDERS_EXAMINED))
                .hasSize(EarliestCompletion.MAX_HOLDERS_EXAMINED);
    }
}
