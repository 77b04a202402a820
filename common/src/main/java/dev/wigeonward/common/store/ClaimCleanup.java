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

/** Repeats writes of claims in the background until the store answers. */
final class ClaimCleanup {
    private static final System.Logger LOG = System.getLogger(ClaimCleanup.class.getName());

    /** Time after which a write that was not answered is no longer expected to take effect. */
    private static final long LATE_WRITE_MILLIS = 10_000;

    /** Bounds memory in a long outage; a claim left behind names an upstream that never received its request. */
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

    /** Removes a claim under one of the ids, if it exists or appears while the write in doubt can still take effect. */
    void removeInDoubt(ClaimKey key, Set<String> ownIds) {
        Backoff backoff = new Backoff(random);
        long endMillis = clock.millis() + LATE_WRITE_MILLIS;
        later(backoff, false, () -> remove(key.path(), ownIds, endMillis, backoff));
    }

    private CompletableFuture<Boolean> remove(String path, Set<String> ownIds, long endMillis, Backoff backoff) {
        return store.get(path).thenCompose(result -> {
            Supplier<CompletableFuture<Boolean>> again = () -> remove(path, ownIds, endMillis, backoff);
            if (result.value().isEmpty()) {
                return later(backoff, false, again);
            }
            Optional<KeyValue> current = result.value().get();
            if (current.isEmpty()) {
                return clock.millis() >= endMillis
                        ? CompletableFuture.completedFuture(false)
                        : later(backoff, false, again);
            }
            boolean own = ClaimValue.parse(current.get().value())
                    .filter(value -> ownIds.contains(value.claimId()))
                    .isPresent();
            if (!own) {
                return CompletableFuture.completedFuture(false);
            }
            Compare unchanged = new Compare.ModRevision(path, current.get().modRevision());
            return store.commit(Transaction.of(unchanged, new Write.Delete(path)))
                    .thenCompose(deletion -> deletion instanceof WriteResult.Applied
                            ? CompletableFuture.completedFuture(true)
                            : later(backoff, false, again));
        });
    }

    /** Returns the result of an action that starts after a backoff, or the given one when too many wait. */
    CompletableFuture<Boolean> later(Backoff backoff, boolean ifDropped, Supplier<CompletableFuture<Boolean>> action) {
        if (pending.incrementAndGet() > PENDING_LIMIT) {
            pending.decrementAndGet();
            dropped.inc();
            LOG.log(Level.WARNING, "repeat of a claim's write dropped: {0} wait", PENDING_LIMIT);
            return CompletableFuture.completedFuture(ifDropped);
        }
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        thread.schedule(
                () -> {
                    pending.decrementAndGet();
                    action.get().whenComplete((value, failure) -> result.complete(failure == null ? value : ifDropped));
                },
                backoff.nextMillis(),
                TimeUnit.MILLISECONDS);
        return result;
    }

    int pending() {
        return pending.get();
    }
}
