package dev.wigeonward.standins.kv;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntUnaryOperator;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;

import dev.wigeonward.common.store.ClaimKey;
import dev.wigeonward.common.store.ClaimRequest;
import dev.wigeonward.common.store.ClaimResponse;
import dev.wigeonward.common.store.ClaimStore;
import dev.wigeonward.common.store.HeldClaim;
import dev.wigeonward.common.store.KeyValueStore;
import dev.wigeonward.core.dispatch.ClaimResult;
import dev.wigeonward.core.request.RequestId;
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

    private static ClaimStore entry(StoreFixture fixture, UnaryOperator<KeyValueStore> variant, long seed) {
        KeyValueStore store = variant.apply(fixture.store);
        return ClaimStore.create(store, fixture.clock, fixture.thread, fixture.metrics, new Random(seed));
    }

    private static ClaimRequest request(int key, String requestId) {
        return new ClaimRequest(ClaimKey.of("w", "k" + key), new RequestId(requestId), "content", "u1", 1);
    }

    /** Fails if a key is granted twice while calls are lost before or after their writes take effect. */
    private static void checkGrants(
            long seed, int losePercent, IntUnaryOperator seedOfEntry, UnaryOperator<KeyValueStore> variant) {
        try (StoreFixture fixture = new StoreFixture()) {
            List<ClaimStore> entries = IntStream.range(0, ENTRIES)
                    .mapToObj(i -> entry(fixture, variant, seedOfEntry.applyAsInt(i)))
                    .toList();
            fixture.standin.setFaults(KvFaults.random(losePercent / 100.0, losePercent / 200.0, seed));
            Random random = new Random(seed);
            int[] grants = new int[KEYS];
            for (int round = 0; round < ROUNDS; round++) {
                List<Integer> keys = new ArrayList<>();
                List<CompletableFuture<ClaimResponse>> replies = new ArrayList<>();
                for (int i = 0; i < ENTRIES; i++) {
                    int key = random.nextInt(KEYS);
                    keys.add(key);
                    replies.add(entries.get(i).acquire(request(key, "r" + round + "-" + i)));
                }
                for (int i = 0; i < ENTRIES; i++) {
                    if (await(replies.get(i)).result() instanceof ClaimResult.Granted) {
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
        checkGrants(seed, losePercent, entry -> seed + entry, store -> store);
    }

    /** Verifies that the check fails for entries with equal random seeds, whose claim ids repeat. */
    @Example
    void checkFindsClaimIdsThatRepeat() {
        assertThatThrownBy(() -> {
                    for (int seed = 0; seed < 10; seed++) {
                        checkGrants(seed, 0, entry -> 1, store -> store);
                    }
                })
                .isInstanceOf(AssertionError.class)
                .hasMessageContaining("grants of each key");
    }

    /**
     * Fails if both a move by the owner and a concurrent replacement by another entry are granted while replies are
     * lost.
     */
    private static void checkMoveAgainstTakeover(long seed, UnaryOperator<KeyValueStore> variant) {
        try (StoreFixture fixture = new StoreFixture()) {
            ClaimStore owner = entry(fixture, variant, 2 * seed);
            ClaimStore other = entry(fixture, variant, 2 * seed + 1);
            for (int key = 0; key < KEYS; key++) {
                fixture.standin.setFaults(KvFaults.none());
                HeldClaim claim =
                        await(owner.acquire(request(key, "owner"))).claim().orElseThrow();
                fixture.standin.setFaults(KvFaults.random(0.3, 0.2, seed + key));
                CompletableFuture<ClaimResponse> move = owner.moveTo(claim, "u2", 2);
                CompletableFuture<ClaimResponse> replacement = other.replace(request(key, "other"), claim.claimId());
                boolean both = await(move).claim().isPresent()
                        && await(replacement).claim().isPresent();
                assertThat(both).as("grants of a move and a takeover").isFalse();
            }
        }
    }

    /** Guards against a claim that is both moved by its owner and replaced by another entry when replies are lost. */
    @Property(tries = 10, shrinking = ShrinkingMode.OFF)
    void eitherMoveOrTakeoverIsGranted(@ForAll @IntRange(max = 100_000) int seed) {
        checkMoveAgainstTakeover(seed, store -> store);
    }

    /** Verifies that the check fails for a store that writes without checking the conditions. */
    @Example
    void checkFindsMovesAfterATakeover() {
        assertThatThrownBy(() -> {
                    for (int seed = 0; seed < 10; seed++) {
                        checkMoveAgainstTakeover(seed, ForwardingStore::ignoringConditions);
                    }
                })
                .isInstanceOf(AssertionError.class)
                .hasMessageContaining("grants of a move and a takeover");
    }

    /** Verifies that the check fails for a store that reports a lost reply as success. */
    @Example
    void checkFindsLostRepliesTakenForSuccess() {
        assertThatThrownBy(() -> {
                    for (int seed = 0; seed < 10; seed++) {
                        checkGrants(seed, 50, entry -> entry, ForwardingStore::unknownIsApplied);
                    }
                })
                .isInstanceOf(AssertionError.class)
                .hasMessageContaining("grants of each key");
    }
}
