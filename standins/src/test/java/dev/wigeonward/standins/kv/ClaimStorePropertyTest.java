package dev.wigeonward.standins.kv;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;

import dev.wigeonward.core.dispatch.ClaimAnswer;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.platform.store.ClaimKey;
import dev.wigeonward.platform.store.ClaimReply;
import dev.wigeonward.platform.store.ClaimRequest;
import dev.wigeonward.platform.store.ClaimStore;
import dev.wigeonward.platform.store.KeyValueStore;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

import static dev.wigeonward.standins.Awaiting.await;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class ClaimStorePropertyTest {
    private static final int ENTRIES = 3;
    private static final int KEYS = 4;
    private static final int ROUNDS = 6;

    /** Fails when a key is granted twice while replies are lost before and after their writes take effect. */
    private static void checkGrants(long seed, int losePercent, UnaryOperator<KeyValueStore> variant) {
        try (StoreFixture fixture = new StoreFixture()) {
            List<ClaimStore> entries = IntStream.range(0, ENTRIES)
                    .mapToObj(i -> ClaimStore.create(
                            variant.apply(fixture.store),
                            fixture.clock,
                            fixture.thread,
                            fixture.metrics,
                            new Random(seed * ENTRIES + i)))
                    .toList();
            fixture.standin.setFaults(KvFaults.random(losePercent / 100.0, losePercent / 200.0, seed));
            Random random = new Random(seed);
            int[] grants = new int[KEYS];
            for (int round = 0; round < ROUNDS; round++) {
                List<Integer> keys = new ArrayList<>();
                List<CompletableFuture<ClaimReply>> replies = new ArrayList<>();
                for (int i = 0; i < ENTRIES; i++) {
                    int key = random.nextInt(KEYS);
                    keys.add(key);
                    replies.add(entries.get(i)
                            .claim(new ClaimRequest(
                                    ClaimKey.of("w", "k" + key),
                                    new RequestId("r" + round + "-" + i),
                                    "content",
                                    "u1",
                                    1)));
                }
                for (int i = 0; i < ENTRIES; i++) {
                    if (await(replies.get(i)).answer() instanceof ClaimAnswer.Granted) {
                        grants[keys.get(i)]++;
                    }
                }
            }
            assertThat(grants).as("grants of each key").doesNotContain(2, 3, 4, 5, 6);
        }
    }

    /** Guards against a key that is granted to two requests when replies are lost. */
    @Property(tries = 15, shrinking = ShrinkingMode.OFF)
    void neverTwoGrantsOfOneKey(
            @ForAll @IntRange(max = 100_000) int seed, @ForAll @IntRange(max = 60) int losePercent) {
        checkGrants(seed, losePercent, store -> store);
    }

    /** Shows that the check fails for a store that takes a lost reply for a success. */
    @Example
    void checkFindsLostRepliesTakenForSuccess() {
        assertThatThrownBy(() -> {
                    for (int seed = 0; seed < 10; seed++) {
                        checkGrants(seed, 50, ForwardingStore::unknownIsApplied);
                    }
                })
                .isInstanceOf(AssertionError.class)
                .hasMessageContaining("grants of each key");
    }
}
