package dev.wigeonward.common.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the platform's key-value service. Calls do not block; each completes within the call timeout. Results are
 * completed on the store's thread.
 */
public interface KeyValueStore extends AutoCloseable {
    /** Reads the entry of a key, which is empty if the key does not exist. */
    CompletableFuture<ReadResult<Optional<KeyValue>>> get(String key);

    /**
     * Reads up to {@code limit} entries whose keys start with the prefix, in the order of keys.
     *
     * @param afterKey key after which the entries begin, or "" for the first entry
     */
    CompletableFuture<ReadResult<Page>> range(String prefix, String afterKey, int limit);

    /** Commits a transaction and returns its result. The transaction is sent once and never retried. */
    CompletableFuture<WriteResult> commit(Transaction transaction);

    /**
     * Grants a lease and returns the result. The caller chooses a random id, so that a repeated grant is recognized.
     */
    CompletableFuture<WriteResult> grantLease(long leaseId, long ttlSeconds);

    /** Renews a lease and returns its remaining seconds, or 0 if the lease has expired. */
    CompletableFuture<ReadResult<Long>> keepLeaseAlive(long leaseId);

    /** Revokes a lease, which removes its keys, and returns the result. */
    CompletableFuture<WriteResult> revokeLease(long leaseId);

    /**
     * Starts a watch on all keys with the prefix; closing the returned object ends it.
     *
     * @param fromRevision first revision to report, or 1 for all revisions that the service keeps
     */
    AutoCloseable watch(String prefix, long fromRevision, WatchListener listener);

    @Override
    void close();
}
