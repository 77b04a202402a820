package dev.wigeonward.common.store;

import java.lang.System.Logger.Level;
import java.time.Clock;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import dev.wigeonward.core.dispatch.ClaimResult;

/**
 * Store of durable claims for non-idempotent requests. A claim is granted only if the store holds it under the random
 * claim id of this process. A write in doubt is repeated once under the same condition, which either applies the write
 * or returns the current holder of the key. If the repeat fails too, the reply is {@link ClaimResult.Unavailable} and
 * the claim is removed in the background.
 *
 * <p>Methods may be called from any thread; results are completed on the store's thread.
 */
public final class ClaimStore {
    private static final System.Logger LOG = System.getLogger(ClaimStore.class.getName());
    private static final int MAX_ATTEMPTS = 2;

    private final KeyValueStore store;
    private final ScheduledExecutorService thread;
    private final RandomGenerator random;
    private final HourlyLease lease;
    private final GroupCommitter committer;
    private final ClaimCleanup cleanup;

    private ClaimStore(
            KeyValueStore store,
            Clock clock,
            ScheduledExecutorService thread,
            MetricRegistry metrics,
            RandomGenerator random,
            int groupLimit) {
        this.store = store;
        this.thread = thread;
        this.random = random;
        this.lease = new HourlyLease(store, clock, random);
        this.committer = new GroupCommitter(store, thread, groupLimit);
        this.cleanup = new ClaimCleanup(store, clock, thread, metrics, random);
    }

    /**
     * Returns a claim store that commits in groups of the default size.
     *
     * @param thread the store's thread
     * @param random source of claim ids; must be unpredictable across processes, for example a SecureRandom
     */
    public static ClaimStore create(
            KeyValueStore store,
            Clock clock,
            ScheduledExecutorService thread,
            MetricRegistry metrics,
            RandomGenerator random) {
        return create(store, clock, thread, metrics, random, GroupCommitter.GROUP_LIMIT);
    }

    /** Returns a claim store that commits in groups of at most {@code groupLimit} writes. */
    public static ClaimStore create(
            KeyValueStore store,
            Clock clock,
            ScheduledExecutorService thread,
            MetricRegistry metrics,
            RandomGenerator random,
            int groupLimit) {
        return new ClaimStore(store, clock, thread, metrics, random, groupLimit);
    }

    /**
     * Conditional write of a claim of this process; {@code ownIds} are the ids under which it may have been written.
     */
    private record Attempt(ClaimRequest request, String claimId, Condition condition, Set<String> ownIds) {}

    /** Claims a key that must not exist in the store, and returns the reply. */
    public CompletableFuture<ClaimResponse> acquire(ClaimRequest request) {
        String claimId = newClaimId();
        Condition absent = Condition.absent(request.key().storeKey());
        return runOnStoreThread(() -> write(new Attempt(request, claimId, absent, Set.of(claimId)), 1));
    }

    /**
     * Replaces a claim of this process by one that names another upstream, after the first upstream did not run the
     * request, and returns the reply.
     */
    public CompletableFuture<ClaimResponse> moveTo(HeldClaim claim, String upstreamId, long upstreamIncarnation) {
        String claimId = newClaimId();
        ClaimRequest request = claim.request().withUpstream(upstreamId, upstreamIncarnation);
        Condition unchanged = new Condition.ModRevision(request.key().storeKey(), claim.modRevision());
        return runOnStoreThread(
                () -> write(new Attempt(request, claimId, unchanged, Set.of(claimId, claim.claimId())), 1));
    }

    /**
     * Replaces the claim with the given id, whose request its upstream never received, by a claim of this process, and
     * returns the reply. Claims the key if it no longer exists.
     */
    public CompletableFuture<ClaimResponse> replace(ClaimRequest request, String previousClaimId) {
        String claimId = newClaimId();
        String storeKey = request.key().storeKey();
        return runOnStoreThread(() -> store.get(storeKey).thenCompose(result -> {
            if (result.toOptional().isEmpty()) {
                return CompletableFuture.completedFuture(ClaimResponse.unavailable());
            }
            Optional<KeyValue> current = result.toOptional().get();
            if (current.isEmpty()) {
                return write(new Attempt(request, claimId, Condition.absent(storeKey), Set.of(claimId)), 1);
            }
            Optional<ClaimValue> value = ClaimValue.parse(current.get().value());
            if (value.isEmpty()
                    || !value.get().claimId().equals(previousClaimId)
                    || value.get().outcome().isPresent()) {
                return CompletableFuture.completedFuture(replyOf(current, request));
            }
            Condition same = new Condition.ModRevision(storeKey, current.get().modRevision());
            return write(new Attempt(request, claimId, same, Set.of(claimId)), 1);
        }));
    }

    private String newClaimId() {
        return Long.toHexString(random.nextLong()) + "-" + Long.toHexString(random.nextLong());
    }

    private <T> CompletableFuture<T> runOnStoreThread(Supplier<CompletableFuture<T>> action) {
        return CompletableFuture.supplyAsync(action, thread).thenCompose(result -> result);
    }

    private CompletableFuture<ClaimResponse> write(Attempt attempt, int number) {
        return lease.current()
                .thenComposeAsync(
                        leaseId -> {
                            if (leaseId.isEmpty()) {
                                return CompletableFuture.completedFuture(replyUnavailable(attempt, number > 1));
                            }
                            String value = ClaimValue.of(attempt.claimId(), attempt.request(), Optional.empty())
                                    .toJson();
                            Write put = new Write.Put(attempt.request().key().storeKey(), value, leaseId.get());
                            return committer
                                    .submit(attempt.condition(), put)
                                    .thenCompose(result -> handleWriteResult(attempt, number, result));
                        },
                        thread);
    }

    private CompletableFuture<ClaimResponse> handleWriteResult(Attempt attempt, int number, WriteResult result) {
        if (result instanceof WriteResult.Applied applied) {
            HeldClaim claim = new HeldClaim(attempt.request(), attempt.claimId(), applied.revision());
            return CompletableFuture.completedFuture(ClaimResponse.granted(claim));
        }
        if (result instanceof WriteResult.CompareFailed failed) {
            Optional<KeyValue> current = Optional.ofNullable(
                    failed.current().get(attempt.request().key().storeKey()));
            boolean replaces = attempt.condition() instanceof Condition.ModRevision;
            if (current.isEmpty() && replaces && number < MAX_ATTEMPTS) {
                // The claim to be replaced was released in the meantime, so the key is free.
                Condition absent = Condition.absent(attempt.request().key().storeKey());
                return write(new Attempt(attempt.request(), attempt.claimId(), absent, attempt.ownIds()), number + 1);
            }
            return CompletableFuture.completedFuture(replyAfterFailedCompare(attempt, current));
        }
        boolean unknown = result instanceof WriteResult.OutcomeUnknown;
        boolean leaseLost = result instanceof WriteResult.NotApplied refused
                && refused.reason().contains("lease not found");
        if (leaseLost) {
            lease.invalidate();
        }
        if ((unknown || leaseLost) && number < MAX_ATTEMPTS) {
            return write(attempt, number + 1);
        }
        return CompletableFuture.completedFuture(replyUnavailable(attempt, unknown || number > 1));
    }

    /**
     * Returns the reply after a condition did not hold. An entry with this attempt's claim id is its own write with a
     * lost reply.
     */
    private ClaimResponse replyAfterFailedCompare(Attempt attempt, Optional<KeyValue> current) {
        Optional<ClaimValue> value = current.map(KeyValue::value).flatMap(ClaimValue::parse);
        if (value.filter(claim -> claim.claimId().equals(attempt.claimId())).isPresent()) {
            return ClaimResponse.granted(new HeldClaim(
                    attempt.request(), attempt.claimId(), current.get().modRevision()));
        }
        return replyOf(current, attempt.request());
    }

    private static ClaimResponse replyOf(Optional<KeyValue> current, ClaimRequest request) {
        Optional<ClaimValue> value = current.map(KeyValue::value).flatMap(ClaimValue::parse);
        if (current.isPresent() && value.isEmpty()) {
            LOG.log(Level.ERROR, "claim at key {0} is malformed", request.key().storeKey());
        }
        return value.map(claim -> claim.replyTo(request.fingerprint())).orElseGet(ClaimResponse::unavailable);
    }

    /**
     * Returns the reply that the claim is unavailable; removes the claim in the background if its write is in doubt.
     */
    private ClaimResponse replyUnavailable(Attempt attempt, boolean inDoubt) {
        if (inDoubt) {
            cleanup.removeInDoubt(attempt.request().key(), attempt.ownIds());
        }
        return ClaimResponse.unavailable();
    }

    /** Removes the claim of a request that did not run; retried in the background until the store answers. */
    public void release(HeldClaim claim) {
        Condition unchanged = new Condition.ModRevision(claim.request().key().storeKey(), claim.modRevision());
        Write delete = new Write.Delete(claim.request().key().storeKey());
        runOnStoreThread(() -> committer.submit(unchanged, delete)).thenAccept(result -> {
            if (!(result instanceof WriteResult.Applied)) {
                cleanup.removeInDoubt(claim.request().key(), Set.of(claim.claimId()));
            }
        });
    }

    /**
     * Stores the outcome of a request in its claim, and returns whether it is stored: false if this process no longer
     * holds the claim or too many retries wait. Retried in the background until the store answers.
     */
    public CompletableFuture<Boolean> recordOutcome(HeldClaim claim, StoredOutcome outcome) {
        return runOnStoreThread(() -> recordOutcome(claim, outcome, new Backoff(random)));
    }

    private CompletableFuture<Boolean> recordOutcome(HeldClaim claim, StoredOutcome outcome, Backoff backoff) {
        return lease.current()
                .thenComposeAsync(
                        leaseId -> {
                            if (leaseId.isEmpty()) {
                                return retryRecord(claim, outcome, backoff);
                            }
                            String storeKey = claim.request().key().storeKey();
                            String value = ClaimValue.of(claim.claimId(), claim.request(), Optional.of(outcome))
                                    .toJson();
                            return committer
                                    .submit(
                                            new Condition.ModRevision(storeKey, claim.modRevision()),
                                            new Write.Put(storeKey, value, leaseId.get()))
                                    .thenCompose(result -> handleRecordResult(claim, outcome, backoff, result));
                        },
                        thread);
    }

    private CompletableFuture<Boolean> handleRecordResult(
            HeldClaim claim, StoredOutcome outcome, Backoff backoff, WriteResult result) {
        if (result instanceof WriteResult.Applied) {
            return CompletableFuture.completedFuture(true);
        }
        if (result instanceof WriteResult.NotApplied) {
            lease.invalidate();
        }
        if (!(result instanceof WriteResult.CompareFailed failed)) {
            return retryRecord(claim, outcome, backoff);
        }
        boolean ownWrite = Optional.ofNullable(
                        failed.current().get(claim.request().key().storeKey()))
                .flatMap(entry -> ClaimValue.parse(entry.value()))
                .filter(value -> value.claimId().equals(claim.claimId()))
                .filter(value -> value.outcome().isPresent())
                .isPresent();
        if (!ownWrite) {
            LOG.log(
                    Level.WARNING,
                    "outcome of request {0} was not stored: this process no longer holds its claim",
                    claim.request().request());
        }
        return CompletableFuture.completedFuture(ownWrite);
    }

    private CompletableFuture<Boolean> retryRecord(HeldClaim claim, StoredOutcome outcome, Backoff backoff) {
        return cleanup.runAfterBackoff(backoff, false, () -> recordOutcome(claim, outcome, backoff));
    }

    /** Returns the number of claim removals and outcomes that wait for their next attempt. */
    public int pendingRetryCount() {
        return cleanup.pending();
    }
}
