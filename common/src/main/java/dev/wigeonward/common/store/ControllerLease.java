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
 * Controller lease in the key-value store. The fencing number is the revision that created the controller key. The
 * lease counts as lost if it was not renewed in time by the clock of this process, a margin before the store may grant
 * it to another process.
 */
public final class ControllerLease implements AutoCloseable {
    /** Key that the holder of the lease creates. */
    public static final String KEY = "/wigeonward/controller";

    /** Time after the last renewal at which the store expires the lease. */
    public static final long TTL_SECONDS = 10;

    /**
     * Time before expiry at the store from which the lease counts as lost. Covers clocks of different speed, and the
     * time between checking the lease and sending an order.
     */
    public static final long EXPIRY_MARGIN_MILLIS = 2_000;

    /** Time between renewals of a held lease. */
    public static final long RENEWAL_MILLIS = 3_000;

    /** Mean time between a candidate's reads of the key. */
    public static final long POLL_MILLIS = 5_000;

    private static final System.Logger LOG = System.getLogger(ControllerLease.class.getName());
    private static final long VALID_MILLIS = TTL_SECONDS * 1_000 - EXPIRY_MARGIN_MILLIS;
    /** Time between retries of a failed renewal; leaves time for several retries before the lease expires. */
    private static final long RENEWAL_RETRY_MILLIS = 1_000;

    /** Time between checks of whether a renewal, a poll or the end of the lease is due. */
    private static final long CHECK_MILLIS = 100;

    private final KeyValueStore store;
    private final Clock clock;
    private final ScheduledExecutorService thread;
    private final RandomGenerator random;
    private final String holderId;
    private final ControllerLeaseListener listener;
    private ScheduledFuture<?> checks;
    private volatile Held held;
    private volatile boolean candidate;
    private boolean closed;
    private boolean callInFlight;
    private long nextCallMillis;

    private ControllerLease(
            KeyValueStore store,
            Clock clock,
            ScheduledExecutorService thread,
            RandomGenerator random,
            String holderId,
            ControllerLeaseListener listener) {
        this.store = Objects.requireNonNull(store, "store");
        this.clock = clock;
        this.thread = thread;
        this.random = random;
        this.holderId = holderId;
        this.listener = listener;
    }

    /** Returns a lease that this process does not try to acquire before {@link #setCandidate} allows it. */
    public static ControllerLease create(
            KeyValueStore store,
            Clock clock,
            ScheduledExecutorService thread,
            RandomGenerator random,
            String holderId,
            ControllerLeaseListener listener) {
        ControllerLease lease = new ControllerLease(store, clock, thread, random, holderId, listener);
        lease.checks = thread.scheduleWithFixedDelay(lease::check, 0, CHECK_MILLIS, TimeUnit.MILLISECONDS);
        return lease;
    }

    private record Held(long leaseId, long fencingNumber, long validUntilMillis) {}

    /**
     * Sets whether this process tries to acquire the lease. Few processes should, as each candidate reads the key every
     * 5 s.
     */
    public void setCandidate(boolean isCandidate) {
        candidate = isCandidate;
    }

    /**
     * Returns the fencing number while this process is sure that it holds the lease, otherwise empty. May be called
     * from any thread.
     */
    public OptionalLong fencingNumber() {
        Held current = held;
        return current != null && clock.millis() < current.validUntilMillis()
                ? OptionalLong.of(current.fencingNumber())
                : OptionalLong.empty();
    }

    private void check() {
        long nowMillis = clock.millis();
        if (held != null && nowMillis >= held.validUntilMillis()) {
            endHolding("not renewed within " + VALID_MILLIS + " ms");
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
                boolean free = result.toOptional().isPresent()
                        && result.toOptional().get().isEmpty();
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
            Optional<Long> secondsLeft = result.toOptional();
            if (secondsLeft.isEmpty()) {
                nextCallMillis = clock.millis() + RENEWAL_RETRY_MILLIS;
            } else if (secondsLeft.get() == 0) {
                endHolding("expired at the store");
            } else {
                held = new Held(lease.leaseId(), lease.fencingNumber(), sentMillis + VALID_MILLIS);
                nextCallMillis = sentMillis + RENEWAL_MILLIS;
            }
        });
    }

    /** Ends the holding of the lease, revokes it and calls the listener. */
    private void endHolding(String reason) {
        Held lease = held;
        held = null;
        nextCallMillis = clock.millis() + random.nextLong(POLL_MILLIS);
        LOG.log(Level.WARNING, "controller lease {0} lost: {1}", Long.toString(lease.fencingNumber()), reason);
        store.revokeLease(lease.leaseId());
        listener.onLost();
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
            store.commit(Transaction.of(Condition.absent(KEY), new Write.Put(KEY, value, leaseId)))
                    .thenAccept(result -> handleKeyWrite(leaseId, value, validUntilMillis, result));
        });
    }

    /**
     * Handles the result of writing the controller key. The value holds the random lease id, which identifies the write
     * of this process if its reply was lost.
     */
    private void handleKeyWrite(long leaseId, String value, long validUntilMillis, WriteResult result) {
        if (result instanceof WriteResult.Applied applied) {
            startHolding(new Held(leaseId, applied.revision(), validUntilMillis));
        } else if (result instanceof WriteResult.OutcomeUnknown) {
            store.get(KEY).thenAccept(current -> {
                Optional<KeyValue> own = current.toOptional()
                        .flatMap(entry -> entry)
                        .filter(entry -> entry.value().equals(value));
                if (own.isPresent()) {
                    startHolding(new Held(leaseId, own.get().createRevision(), validUntilMillis));
                } else {
                    revokeUnheld(leaseId);
                }
            });
        } else {
            revokeUnheld(leaseId);
        }
    }

    /** Revokes a lease that was not acquired, which also makes a late write of the key fail. */
    private void revokeUnheld(long leaseId) {
        callInFlight = false;
        store.revokeLease(leaseId);
    }

    private void startHolding(Held lease) {
        if (closed || clock.millis() >= lease.validUntilMillis()) {
            revokeUnheld(lease.leaseId());
            return;
        }
        callInFlight = false;
        held = lease;
        nextCallMillis = clock.millis() + RENEWAL_MILLIS;
        LOG.log(Level.INFO, "controller lease {0} acquired", Long.toString(lease.fencingNumber()));
        listener.onAcquired(lease.fencingNumber());
    }

    /** Revokes the lease if it is held, so that another process can acquire it without waiting for its expiry. */
    @Override
    public void close() {
        thread.execute(() -> {
            closed = true;
            checks.cancel(false);
            if (held != null) {
                endHolding("closed");
            }
        });
    }
}
