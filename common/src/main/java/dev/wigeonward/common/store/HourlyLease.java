package dev.wigeonward.common.store;

import java.time.Clock;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/**
 * One lease for all claims of an hour. It lasts an hour longer than a claim is kept, so that a claim made at the end of
 * the hour lives for 24 h. All state belongs to the store's thread.
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

    /** Returns the id of this hour's lease, or empty when it cannot be granted now. */
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

    /** A lease that exists already was granted by an earlier attempt whose reply was lost. */
    private static boolean isGranted(WriteResult result) {
        return result instanceof WriteResult.Applied
                || result instanceof WriteResult.NotApplied refused
                        && refused.reason().contains("already exists");
    }

    /** Forgets a lease that the service no longer knows. */
    void forget() {
        hour = -1;
    }
}
