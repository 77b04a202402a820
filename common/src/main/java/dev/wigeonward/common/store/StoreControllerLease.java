package dev.wigeonward.common.store;

import java.lang.System.Logger.Level;
import java.time.Clock;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * The controller lease at the store. The fencing number is the revision that created the controller key. The lease
 * counts as lost when it was not renewed in time by the own clock, a margin before the store may give it to another
 * process.
 */
public final class StoreControllerLease implements AutoCloseable {
    /** The key of the controller. */
    public static final String KEY = "/wigeonward/controller";

    /** Time for which the store keeps the lease without renewal. */
    public static final long TTL_SECONDS = 10;

    /** Covers clocks of different speed and the time from a check of the lease to the sending of an order. */
    public static final long MARGIN_MILLIS = 2_000;

    /** Time between renewals of a held lease. */
    public static final long RENEWAL_MILLIS = 3_000;

    /** Mean time between a candidate's reads of the key. */
    public static final long POLL_MILLIS = 5_000;

    private static final System.Logger LOG = System.getLogger(StoreControllerLease.class.getName());
    private static final long VALID_MILLIS = TTL_SECONDS * 1_000 - MARGIN_MILLIS;
    /** A lost renewal leaves time for several more before the lease ends. */
    private static final long RENEWAL_RETRY_MILLIS = 1_000;

    private static final long CHECK_MILLIS = 100;

    private final KeyValueStore store;
    private final Clock clock;
    private final ScheduledExecutorService thread;
    private final RandomGenerator random;
    private final String holderId;
    private final ControllerListener listener;
    private ScheduledFuture<?> checks;
    private volatile Held held;
    private volatile boolean candidate;
    private boolean closed;
    private boolean callInFlight;
    private long nextCallMillis;

    private StoreControllerLease(
            KeyValueStore store,
            Clock clock,
            ScheduledExecutorService thread,
            RandomGenerator random,
            String holderId,
            ControllerListener listener) {
        this.store = Objects.requireNonNull(store, "store");
        this.clock = clock;
        this.thread = thread;
        this.random = random;
        this.holderId = holderId;
        this.listener = listener;
    }

    /** Returns a lease that is not sought until {@link #setCandidate} allows it. */
    public static StoreControllerLease create(
            KeyValueStore store,
            Clock clock,
            ScheduledExecutorService thread,
            RandomGenerator random,
            String holderId,
            ControllerListener listener) {
        StoreControllerLease lease = new StoreControllerLease(store, clock, thread, random, holderId, listener);
        lease.checks = thread.scheduleWithFixedDelay(lease::check, 0, CHECK_MILLIS, TimeUnit.MILLISECONDS);
        return lease;
    }

    private record Held(long leaseId, long fencingNumber, long validUntilMillis) {}

    /** Sets whether this process seeks the lease; few processes should, as each candidate reads the key every 5 s. */
    public void setCandidate(boolean isCandidate) {
        candidate = isCandidate;
    }

    /** Returns the fencing number while the lease is held for sure, from any thread. */
    public OptionalLong fencingNumber() {
        Held current = held;
        return current != null && clock.millis() < current.validUntilMillis()
                ? OptionalLong.of(current.fencingNumber())
                : OptionalLong.empty();
    }

    private void check() {
        long nowMillis = clock.millis();
        if (held != null && nowMillis >= held.validUntilMillis()) {
            lose("not renewed in time");
        }
        if (closed || callInFlight || nowMillis < nextCallMillis) {
            return;
        }
        if (held != null) {
            callInFlight = true;
            renew(held, nowMillis);
        } else if (candidate) {
            callInFlight = true;
            nextCallMillis = nowMillis + POLL_MILLIS / 2 + random.nextLong(POLL_MILLIS);
            store.get(KEY).thenAccept(result -> {
                boolean free =
                        result.value().isPresent() && result.value().get().isEmpty();
                if (free && !closed) {
                    acquire();
                } else {
                    callInFlight = false;
                }
            });
        }
    }

    private void renew(Held lease, long sentMillis) {
        store.keepLeaseAlive(lease.leaseId()).thenAccept(result -> {
            callInFlight = false;
            if (held != lease) {
                return;
            }
            Optional<Long> secondsLeft = result.value();
            if (secondsLeft.isEmpty()) {
                nextCallMillis = clock.millis() + RENEWAL_RETRY_MILLIS;
            } else if (secondsLeft.get() == 0) {
                lose("expired at the store");
            } else {
                held = new Held(lease.leaseId(), lease.fencingNumber(), sentMillis + VALID_MILLIS);
                nextCallMillis = sentMillis + RENEWAL_MILLIS;
            }
        });
    }

    private void lose(String reason) {
        Held lease = held;
        held = null;
        nextCallMillis = clock.millis() + random.nextLong(POLL_MILLIS);
        LOG.log(Level.WARNING, "controller lease {0} lost: {1}", Long.toString(lease.fencingNumber()), reason);
        store.revokeLease(lease.leaseId());
        listener.lost();
    }

    private void acquire() {
        long leaseId = random.nextLong(1, Long.MAX_VALUE);
        long validUntilMillis = clock.millis() + VALID_MILLIS;
        store.grantLease(leaseId, TTL_SECONDS).thenAccept(granted -> {
            if (!(granted instanceof WriteResult.Applied)) {
                callInFlight = false;
                return;
            }
            String value = EtcdJson.object()
                    .put("holder", holderId)
                    .put("lease_id", Long.toHexString(leaseId))
                    .toString();
            store.commit(Transaction.of(Compare.absent(KEY), new Write.Put(KEY, value, leaseId)))
                    .thenAccept(result -> acquired(leaseId, value, validUntilMillis, result));
        });
    }

    /** The value has the random lease id, by which the own write is recognized when its reply was lost. */
    private void acquired(long leaseId, String value, long validUntilMillis, WriteResult result) {
        if (result instanceof WriteResult.Applied applied) {
            hold(new Held(leaseId, applied.revision(), validUntilMillis));
        } else if (result instanceof WriteResult.OutcomeUnknown) {
            store.get(KEY).thenAccept(current -> {
                Optional<KeyValue> own = current.value().flatMap(entry -> entry).filter(entry -> entry.value()
                        .equals(value));
                if (own.isPresent()) {
                    hold(new Held(leaseId, own.get().createRevision(), validUntilMillis));
                } else {
                    abandon(leaseId);
                }
            });
        } else {
            abandon(leaseId);
        }
    }

    /** Ending the lease also makes a late write of the key fail. */
    private void abandon(long leaseId) {
        callInFlight = false;
        store.revokeLease(leaseId);
    }

    private void hold(Held lease) {
        if (closed || clock.millis() >= lease.validUntilMillis()) {
            abandon(lease.leaseId());
            return;
        }
        callInFlight = false;
        held = lease;
        nextCallMillis = clock.millis() + RENEWAL_MILLIS;
        LOG.log(Level.INFO, "controller lease {0} acquired", Long.toString(lease.fencingNumber()));
        listener.acquired(lease.fencingNumber());
    }

    /** Gives the lease back, so that another process need not wait for its end. */
    @Override
    public void close() {
        thread.execute(() -> {
            closed = true;
            checks.cancel(false);
            if (held != null) {
                lose("closed");
            }
        });
    }
}
