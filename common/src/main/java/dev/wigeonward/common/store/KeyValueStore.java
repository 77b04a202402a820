package dev.wigeonward.common.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value service. Calls do not block; each is answered within the call timeout. Results are completed
 * on the store's thread.
 */
public interface KeyValueStore extends AutoCloseable {
    /** Returns the entry of a key, or empty. */
    CompletableFuture<ReadResult<Optional<KeyValue>>> get(String key);

    /** Returns up to {@code limit} entries whose keys start with the prefix and follow {@code afterKey} (may be ""). */
    CompletableFuture<ReadResult<Page>> range(String prefix, String afterKey, int limit);

    /** Returns the result of a transaction, which is sent once. */
    CompletableFuture<WriteResult> commit(Transaction transaction);

    /** Returns the result of granting a lease whose id the caller chose at random, so that a repeat is recognized. */
    CompletableFuture<WriteResult> grantLease(long leaseId, long ttlSeconds);

    /** Returns the seconds left after renewal; 0 if the lease has expired. */
    CompletableFuture<ReadResult<Long>> keepLeaseAlive(long leaseId);

    /** Returns the result of ending a lease, which removes its keys. */
    CompletableFuture<WriteResult> revokeLease(long leaseId);

    /** Returns a watch on all keys with the prefix, from a revision on (1 for all that is kept), until closed. */
    AutoCloseable watch(String prefix, long fromRevision, WatchListener listener);

    @Override
    void close();
}
