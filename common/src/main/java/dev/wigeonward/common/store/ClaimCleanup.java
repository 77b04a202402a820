package dev.wigeonward.common.store;

import java.lang.System.Logger.Level;
import java.time.Clock;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/**
 * Background retries for claims: removes claims whose write is in doubt, and repeats actions until the store answers.
 * All retries start on the store's thread.
 */
final class ClaimCleanup {
    private static final System.Logger LOG = System.getLogger(ClaimCleanup.class.getName());

    /** Time after which an unanswered write is assumed to have no effect any more. */
    private static final long LATE_WRITE_MILLIS = 10_000;

    /**
     * Most retries that wait at the same time, which bounds the memory in a long outage. A claim that is left behind
     * names an upstream that never received the request.
     */
    private static final int PENDING_LIMIT = 4_096;

    private final KeyValueStore store;
    private final Clock clock;
    private final ScheduledExecutorService thread;
    private final RandomGenerator random;
    private final AtomicInteger pending = new AtomicInteger();
    private final Counter dropped;

    ClaimCleanup(
            KeyValueStore store,
            Clock clock,
            ScheduledExecutorService thread,
            MetricRegistry metrics,
            RandomGenerator random) {
        this.store = store;
        this.clock = clock;
        this.thread = thread;
        this.random = random;
        this.dropped = metrics.counter("store.claims.repeats_dropped");
    }

    /**
     * Removes the claim at a key if it has one of the given ids. Keeps reading the key for as long as the write in
     * doubt can still take effect, and removes the claim if it appears.
     */
    void removeInDoubt(ClaimKey key, Set<String> ownIds) {
        Backoff backoff = new Backoff(random);
        long endMillis = clock.millis() + LATE_WRITE_MILLIS;
        runAfterBackoff(backoff, false, () -> remove(key.storeKey(), ownIds, endMillis, backoff));
    }

    /** Returns whether a claim was removed; false if the key is held under another id or stayed absent to the end. */
    private CompletableFuture<Boolean> remove(String storeKey, Set<String> ownIds, long endMillis, Backoff backoff) {
        return store.get(storeKey).thenCompose(result -> {
            Supplier<CompletableFuture<Boolean>> retry = () -> remove(storeKey, ownIds, endMillis, backoff);
            if (result.toOptional().isEmpty()) {
                return runAfterBackoff(backoff, false, retry);
            }
            Optional<KeyValue> current = result.toOptional().get();
            if (current.isEmpty()) {
                return clock.millis() >= endMillis
                        ? CompletableFuture.completedFuture(false)
                        : runAfterBackoff(backoff, false, retry);
            }
            boolean own = ClaimValue.parse(current.get().value())
                    .filter(value -> ownIds.contains(value.claimId()))
                    .isPresent();
            if (!own) {
                return CompletableFuture.completedFuture(false);
            }
            Condition unchanged =
                    new Condition.ModRevision(storeKey, current.get().modRevision());
            return store.commit(Transaction.of(unchanged, new Write.Delete(storeKey)))
                    .thenCompose(deletion -> deletion instanceof WriteResult.Applied
                            ? CompletableFuture.completedFuture(true)
                            : runAfterBackoff(backoff, false, retry));
        });
    }

    /**
     * Returns the result of an action that starts after a backoff. Returns {@code valueIfDropped} if the action fails,
     * or at once without running it if too many actions wait.
     */
    CompletableFuture<Boolean> runAfterBackoff(
            Backoff backoff, boolean valueIfDropped, Supplier<CompletableFuture<Boolean>> action) {
        if (pending.incrementAndGet() > PENDING_LIMIT) {
            pending.decrementAndGet();
            dropped.inc();
            LOG.log(
                    Level.WARNING,
                    "dropped the retry of a claim write: {0} retries are pending, which is the limit",
                    PENDING_LIMIT);
            return CompletableFuture.completedFuture(valueIfDropped);
        }
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        thread.schedule(
                () -> {
                    pending.decrementAndGet();
                    action.get()
                            .whenComplete(
                                    (value, failure) -> result.complete(failure == null ? value : valueIfDropped));
                },
                backoff.nextMillis(),
                TimeUnit.MILLISECONDS);
        return result;
    }

    /** Returns the number of actions that wait for their backoff. */
    int pending() {
        return pending.get();
    }
}
