package dev.wigeonward.common.store;

import java.time.Clock;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/**
 * Lease of the store that all claims of an hour share. Its TTL is one hour longer than claims are kept, so that a claim
 * written at the end of the hour still lives for 24 h. All state is confined to the store's thread.
 */
final class HourlyLease {
    static final long TTL_SECONDS = 25 * 3_600;

    private static final long HOUR_MILLIS = 3_600_000;

    private final KeyValueStore store;
    private final Clock clock;
    private final RandomGenerator random;
    private long hour = -1;
    private long candidateId;
    private CompletableFuture<Optional<Long>> grant = CompletableFuture.completedFuture(Optional.empty());

    HourlyLease(KeyValueStore store, Clock clock, RandomGenerator random) {
        this.store = store;
        this.clock = clock;
        this.random = random;
    }

    /** Returns the id of the lease for the current hour, or empty if it cannot be granted now; grants it if needed. */
    CompletableFuture<Optional<Long>> current() {
        long currentHour = clock.millis() / HOUR_MILLIS;
        if (currentHour != hour) {
            hour = currentHour;
            candidateId = random.nextLong(1, Long.MAX_VALUE);
            grant = grant();
        } else if (grant.isDone() && grant.join().isEmpty()) {
            grant = grant();
        }
        return grant;
    }

    private CompletableFuture<Optional<Long>> grant() {
        long id = candidateId;
        return store.grantLease(id, TTL_SECONDS)
                .thenApply(result -> isGranted(result) ? Optional.of(id) : Optional.empty());
    }

    /**
     * Returns whether the lease exists. A lease that already exists was granted by an earlier call whose reply was
     * lost.
     */
    private static boolean isGranted(WriteResult result) {
        return result instanceof WriteResult.Applied
                || result instanceof WriteResult.NotApplied refused
                        && refused.reason().contains("already exists");
    }

    /** Discards a lease that the service no longer has, so that the next call grants a new one. */
    void invalidate() {
        hour = -1;
    }
}
