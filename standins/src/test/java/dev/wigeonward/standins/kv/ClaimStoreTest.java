package dev.wigeonward.standins.kv;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;

import dev.wigeonward.common.store.ClaimKey;
import dev.wigeonward.common.store.ClaimRequest;
import dev.wigeonward.common.store.ClaimResponse;
import dev.wigeonward.common.store.ClaimStore;
import dev.wigeonward.common.store.HeldClaim;
import dev.wigeonward.common.store.KeyValue;
import dev.wigeonward.common.store.KeyValueStore;
import dev.wigeonward.common.store.StoredOutcome;
import dev.wigeonward.core.dispatch.ClaimResult;
import dev.wigeonward.core.request.RequestId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import static dev.wigeonward.standins.Awaiting.await;
import static dev.wigeonward.standins.Awaiting.awaitUntil;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class ClaimStoreTest {
    private static final long HOUR_MILLIS = 3_600_000;

    private final StoreFixture fixture = new StoreFixture();
    private final ClaimStore first = entry(1, fixture.store);
    private final ClaimStore second = entry(2, fixture.store);

    /**
     * Loads the classes of client and service before the first test. On a busy machine this alone takes longer than the
     * call timeout, which would fail the first test.
     */
    @BeforeAll
    static void loadClasses() {
        try (StoreFixture fixture = new StoreFixture()) {
            ClaimStore claims =
                    ClaimStore.create(fixture.store, fixture.clock, fixture.thread, fixture.metrics, new Random(0));
            awaitUntil(
                    "a claim",
                    () -> await(claims.acquire(request("warm", "r0"))).claim().isPresent());
        }
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    private ClaimStore entry(long seed, KeyValueStore store) {
        return ClaimStore.create(store, fixture.clock, fixture.thread, fixture.metrics, new Random(seed));
    }

    private static ClaimRequest request(String key, String requestId) {
        return new ClaimRequest(ClaimKey.of("w1", key), new RequestId(requestId), "content", "u1", -7);
    }

    private HeldClaim granted(CompletableFuture<ClaimResponse> reply) {
        ClaimResponse response = await(reply);
        assertThat(response.result()).isEqualTo(new ClaimResult.Granted());
        return response.claim().orElseThrow();
    }

    private static ClaimResult answer(CompletableFuture<ClaimResponse> reply) {
        return await(reply).result();
    }

    private static ClaimResult heldBy(HeldClaim claim) {
        ClaimRequest request = claim.request();
        return new ClaimResult.HeldByOther(
                claim.claimId(), request.request(), request.upstreamId(), request.upstreamIncarnation());
    }

    private Optional<KeyValue> stored(String key) {
        return await(fixture.store.get(ClaimKey.of("w1", key).storeKey()))
                .toOptional()
                .orElseThrow();
    }

    /** Fails unless each key is granted to exactly one of two entries. */
    private void checkRace(UnaryOperator<KeyValueStore> variant) {
        ClaimStore left = entry(3, variant.apply(fixture.store));
        ClaimStore right = entry(4, variant.apply(fixture.store));
        List<CompletableFuture<ClaimResponse>> replies = new ArrayList<>();
        for (int i = 0; i < 150; i++) {
            replies.add(left.acquire(request("k" + i, "left-" + i)));
            replies.add(right.acquire(request("k" + i, "right-" + i)));
        }
        for (int i = 0; i < 150; i++) {
            List<ClaimResponse> pair = List.of(await(replies.get(2 * i)), await(replies.get(2 * i + 1)));
            List<HeldClaim> winners =
                    pair.stream().flatMap(reply -> reply.claim().stream()).toList();
            assertThat(winners).as("winners of key %s", i).hasSize(1);
            assertThat(pair).extracting(ClaimResponse::result).contains(heldBy(winners.get(0)));
        }
    }

    /** Guards against a key that is granted to two entries, which would run the request twice. */
    @Test
    void oneOfTwoEntriesGetsTheKey() {
        checkRace(store -> store);
        assertThatThrownBy(() -> checkRace(ForwardingStore::ignoringConditions)).isInstanceOf(AssertionError.class);
    }

    /** Guards against a claim that its own entry does not recognize because the reply was lost. */
    @Test
    void lostReplyIsRecognized() {
        granted(first.acquire(request("other", "r0")));
        fixture.standin.setFaults(KvFaults.loseNextAnswers(1));
        HeldClaim claim = granted(first.acquire(request("k", "r1")));
        assertThat(answer(second.acquire(request("k", "r2")))).isEqualTo(heldBy(claim));

        fixture.standin.setFaults(KvFaults.loseNextAnswers(1));
        HeldClaim moved = granted(first.moveTo(claim, "u2", 8));
        assertThat(answer(second.acquire(request("k", "r2")))).isEqualTo(heldBy(moved));
    }

    /** Guards against dispatching a request whose claim may not have been written, and against leaving that claim. */
    @Test
    void claimInDoubtIsRefusedAndRemoved() {
        granted(first.acquire(request("other", "r0")));
        fixture.standin.setFaults(KvFaults.random(1, 0, 1));
        assertThat(answer(first.acquire(request("k", "r1")))).isEqualTo(new ClaimResult.Unavailable());
        assertThat(stored("k")).isPresent();

        fixture.standin.setFaults(KvFaults.none());
        awaitUntil("removal of the claim in doubt", () -> stored("k").isEmpty());
        granted(second.acquire(request("k", "r2")));
    }

    /** Guards against claims that are granted or keep waiting while the store is down. */
    @Test
    void storeDownIsUnavailable() {
        for (KvFaults.Outage down : List.of(KvFaults.Outage.REFUSE, KvFaults.Outage.DROP)) {
            fixture.standin.setFaults(KvFaults.down(down));
            assertThat(answer(first.acquire(request("k", "r1")))).isEqualTo(new ClaimResult.Unavailable());
            assertThat(answer(first.replace(request("k", "r1"), "c"))).isEqualTo(new ClaimResult.Unavailable());
        }
        fixture.standin.setFaults(KvFaults.none());
        granted(first.acquire(request("k", "r1")));
    }

    /** Fails unless only the current claim id permits a replacement, after which the owner cannot change the claim. */
    private void checkTakeover(String key, UnaryOperator<KeyValueStore> variant) {
        ClaimStore owner = entry(5, variant.apply(fixture.store));
        ClaimStore other = entry(6, variant.apply(fixture.store));
        HeldClaim claim = granted(owner.acquire(request(key, "r1")));
        HeldClaim moved = granted(owner.moveTo(claim, "u2", 8));
        assertThat(answer(other.replace(request(key, "r2"), claim.claimId()))).isEqualTo(heldBy(moved));

        HeldClaim taken = granted(other.replace(request(key, "r2"), moved.claimId()));
        assertThat(answer(owner.moveTo(moved, "u3", 9))).isEqualTo(heldBy(taken));
        assertThat(await(owner.recordOutcome(moved, StoredOutcome.of(200, "text/plain", new byte[0]))))
                .isFalse();
        owner.release(moved);
        awaitUntil("the release", () -> owner.pendingRetryCount() == 0);
        assertThat(answer(owner.acquire(request(key, "r3")))).isEqualTo(heldBy(taken));
    }

    /** Guards against a move that is refused because its claim was released in between. */
    @Test
    void claimThatWasReleasedBeforeItsReplacementIsMadeAnew() {
        HeldClaim claim = granted(first.acquire(request("k", "r1")));
        first.release(claim);
        awaitUntil("the claim is released", () -> stored("k").isEmpty());

        HeldClaim moved = granted(first.moveTo(claim, "u2", 8));
        assertThat(answer(second.acquire(request("k", "r2")))).isEqualTo(heldBy(moved));
    }

    /** Guards against an owner and a successor that both dispatch, and against the replacement of a moved claim. */
    @Test
    void takeoverNeedsTheCurrentClaimId() {
        checkTakeover("k", store -> store);
        assertThatThrownBy(() -> checkTakeover("m", ForwardingStore::ignoringConditions))
                .isInstanceOf(AssertionError.class);
    }

    /** Guards against lost or confused outcomes, and against reuse of a key with other content. */
    @Test
    void outcomeIsReplayedToTheSameContentOnly() {
        HeldClaim claim = granted(first.acquire(request("k", "r1")));
        byte[] body = new byte[StoredOutcome.MAX_BODY_BYTES];
        Arrays.fill(body, (byte) 0xfe);
        StoredOutcome outcome = StoredOutcome.of(201, "application/octet-stream", body);
        fixture.standin.setFaults(KvFaults.loseNextAnswers(1));
        assertThat(await(first.recordOutcome(claim, outcome))).isTrue();

        ClaimResponse resend = await(second.acquire(request("k", "r2")));
        assertThat(resend.result()).isEqualTo(new ClaimResult.OutcomeStored());
        assertThat(resend.outcome()).contains(outcome);
        assertThat(answer(second.replace(request("k", "r2"), claim.claimId())))
                .isEqualTo(new ClaimResult.OutcomeStored());
        ClaimRequest changed = new ClaimRequest(ClaimKey.of("w1", "k"), new RequestId("r3"), "changed", "u1", 1);
        assertThat(answer(second.acquire(changed))).isEqualTo(new ClaimResult.ContentMismatch());
        assertThat(StoredOutcome.of(200, "text/plain", new byte[StoredOutcome.MAX_BODY_BYTES + 1])
                        .body())
                .isEmpty();
    }

    /** Guards against an outcome or a release that is lost because the store was down. */
    @Test
    void outcomeAndReleaseAreRepeatedAfterAnOutage() {
        HeldClaim done = granted(first.acquire(request("done", "r1")));
        HeldClaim unused = granted(first.acquire(request("unused", "r2")));
        fixture.standin.setFaults(KvFaults.down(KvFaults.Outage.REFUSE));
        CompletableFuture<Boolean> recorded = first.recordOutcome(done, StoredOutcome.withoutBody(200, "text/plain"));
        first.release(unused);
        awaitUntil("both writes to fail", () -> first.pendingRetryCount() == 2);

        fixture.standin.setFaults(KvFaults.none());
        assertThat(await(recorded)).isTrue();
        awaitUntil("the release", () -> stored("unused").isEmpty());
        assertThat(await(second.acquire(request("done", "r3"))).outcome()).isPresent();
    }

    /** Guards against a group that refuses claims because another key in it is held, and against a call per claim. */
    @Test
    void groupAnswersEachClaimByItself() {
        HeldClaim held = granted(second.acquire(request("k5", "held")));
        granted(first.acquire(request("other", "r0")));
        long callsBefore = fixture.standin.counters().get("/v3/kv/txn");
        List<CompletableFuture<ClaimResponse>> replies = new ArrayList<>();
        for (int i = 0; i < 64; i++) {
            replies.add(first.acquire(request("k" + i, "r" + i)));
        }
        for (int i = 0; i < 64; i++) {
            ClaimResult expected = i == 5 ? heldBy(held) : new ClaimResult.Granted();
            assertThat(answer(replies.get(i))).isEqualTo(expected);
        }
        // Groups are sent 2 ms after their first claim; on a busy machine 64 claims may be split into several groups.
        assertThat(fixture.standin.counters().get("/v3/kv/txn") - callsBefore).isLessThanOrEqualTo(32);
    }

    /** Guards against claims that are refused at once although the call budget allows them shortly afterwards. */
    @Test
    void claimsBeyondTheBudgetOfCallsWaitAndShareCalls() {
        ClaimStore narrow = entry(7, fixture.connect(1_000, 10, 64));
        List<CompletableFuture<ClaimResponse>> replies = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            replies.add(narrow.acquire(request("k" + i, "r" + i)));
            if (i % 2 == 0) {
                granted(replies.get(i));
            }
        }
        replies.forEach(this::granted);
    }

    /** Guards against claims that expire before 24 h, and against keys that stay claimed forever. */
    @Test
    void claimLivesOneDay() {
        fixture.clock.advanceMillis(HOUR_MILLIS - fixture.clock.millis() % HOUR_MILLIS);
        granted(first.acquire(request("other", "r0")));
        fixture.clock.advanceMillis(HOUR_MILLIS - 1);
        HeldClaim claim = granted(first.acquire(request("k", "r1")));
        fixture.clock.advanceMillis(24 * HOUR_MILLIS);
        assertThat(answer(second.acquire(request("k", "r2")))).isEqualTo(heldBy(claim));
        fixture.clock.advanceMillis(HOUR_MILLIS);
        granted(second.acquire(request("k", "r2")));
    }

    /** Guards against an entry that cannot claim until the next hour after a restarted store has lost its lease. */
    @Test
    void lostLeaseIsGrantedAgain() {
        granted(first.acquire(request("k", "r1")));
        fixture.stopStandin();
        fixture.restartStandin();
        awaitUntil(
                "a claim",
                () -> answer(first.acquire(request("k", "r1"))).equals(new ClaimResult.Granted())
                        || stored("k").isPresent());
    }
}
