package dev.wigeonward.standins.kv;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import dev.wigeonward.common.clock.PausedClock;
import dev.wigeonward.common.store.ControllerLease;
import dev.wigeonward.common.store.ControllerLeaseListener;
import dev.wigeonward.common.store.Transaction;
import dev.wigeonward.common.store.WriteResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static dev.wigeonward.standins.Awaiting.await;
import static dev.wigeonward.standins.Awaiting.awaitUntil;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class ControllerLeaseTest {
    private static final String KEEP_ALIVE = "/v3/lease/keepalive";

    private final StoreFixture fixture = new StoreFixture();
    private final List<ControllerLease> leases = new ArrayList<>();
    private final List<String> events = Collections.synchronizedList(new ArrayList<>());

    @AfterEach
    void close() {
        leases.forEach(ControllerLease::close);
        fixture.close();
    }

    private ControllerLease candidate(String name, Clock clock) {
        ControllerLeaseListener listener = new ControllerLeaseListener() {
            @Override
            public void onAcquired(long fencingNumber) {
                events.add(name + " acquired");
            }

            @Override
            public void onLost() {
                events.add(name + " lost");
            }
        };
        ControllerLease lease =
                ControllerLease.create(fixture.store, clock, fixture.thread, new Random(leases.size()), name, listener);
        lease.setCandidate(true);
        leases.add(lease);
        return lease;
    }

    private static void awaitHeld(ControllerLease lease) {
        awaitUntil("the lease", () -> lease.fencingNumber().isPresent());
    }

    private long createRevision() {
        return await(fixture.store.get(ControllerLease.KEY))
                .toOptional()
                .orElseThrow()
                .orElseThrow()
                .createRevision();
    }

    /** Guards against two holders at once, and against a successor whose fencing number is not higher. */
    @Test
    void successorHasAHigherNumber() {
        ControllerLease first = candidate("a", fixture.clock);
        awaitHeld(first);
        assertThat(first.fencingNumber()).hasValue(createRevision());
        ControllerLease second = candidate("b", fixture.clock);
        long reads = fixture.standin.counters().get("/v3/kv/range");
        awaitUntil("a read of the key", () -> fixture.standin.counters().get("/v3/kv/range") > reads);
        assertThat(second.fencingNumber()).isEmpty();

        long number = first.fencingNumber().orElseThrow();
        first.close();
        awaitUntil("the key's end", () -> {
            fixture.clock.advanceMillis(100);
            return second.fencingNumber().isPresent();
        });
        assertThat(second.fencingNumber().orElseThrow()).isGreaterThan(number);
        assertThat(events).containsExactly("a acquired", "a lost", "b acquired");
    }

    /** Guards against a lease that expires although its holder renews it. */
    @Test
    void renewalKeepsTheLease() {
        ControllerLease lease = candidate("a", fixture.clock);
        awaitHeld(lease);
        long number = lease.fencingNumber().orElseThrow();
        for (int i = 1; i <= 10; i++) {
            long renewals = fixture.standin.counters().getOrDefault(KEEP_ALIVE, 0L);
            fixture.clock.advanceMillis(3_000);
            awaitUntil("a renewal", () -> fixture.standin.counters().getOrDefault(KEEP_ALIVE, 0L) > renewals);
            awaitUntil("its answer", () -> lease.fencingNumber().isPresent());
        }
        assertThat(lease.fencingNumber()).hasValue(number);
        assertThat(createRevision()).isEqualTo(number);
    }

    /** Fails if a holder that cannot reach the store still has a fencing number when the store may expire its lease. */
    private void checkCutOffHolder(Clock holderClock, PausedClock ownClock) {
        ControllerLease holder = candidate("cut", holderClock);
        awaitHeld(holder);
        fixture.standin.setFaults(KvFaults.down(KvFaults.Outage.REFUSE));
        ownClock.advanceMillis(ControllerLease.TTL_SECONDS * 1_000 - ControllerLease.EXPIRY_MARGIN_MILLIS);
        assertThat(holder.fencingNumber()).as("lease of a cut-off holder").isEmpty();
        awaitUntil("the report", () -> events.contains("cut lost"));
    }

    /** Guards against a holder that relies on its lease after the store may have expired it. */
    @Test
    void leaseIsLostBeforeTheStoreGivesItAway() {
        PausedClock ownClock = PausedClock.at(5);
        checkCutOffHolder(ownClock, ownClock);
    }

    /** Verifies that the check fails for a holder whose clock stands still. */
    @Test
    void checkFindsAHolderWithAStoppedClock() {
        assertThatThrownBy(() -> checkCutOffHolder(PausedClock.at(5), PausedClock.at(5)))
                .isInstanceOf(AssertionError.class)
                .hasMessageContaining("lease of a cut-off holder");
    }

    /** Guards against a controller key without an active holder because the reply to its creation was lost. */
    @Test
    void lostReplyToTheCreationIsRecognized() {
        fixture.standin.setFaults(KvFaults.none());
        ControllerLease lease = ControllerLease.create(
                losingFirstCommit(), fixture.clock, fixture.thread, new Random(9), "a", new ControllerLeaseListener() {
                    @Override
                    public void onAcquired(long fencingNumber) {
                        events.add("acquired");
                    }

                    @Override
                    public void onLost() {
                        events.add("lost");
                    }
                });
        leases.add(lease);
        lease.setCandidate(true);
        awaitHeld(lease);
        assertThat(lease.fencingNumber()).hasValue(createRevision());
    }

    private ForwardingStore losingFirstCommit() {
        return new ForwardingStore(fixture.store) {
            @Override
            public CompletableFuture<WriteResult> commit(Transaction transaction) {
                fixture.standin.setFaults(KvFaults.loseNextAnswers(1));
                return super.commit(transaction);
            }
        };
    }
}
