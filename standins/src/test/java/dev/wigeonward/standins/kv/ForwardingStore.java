package dev.wigeonward.standins.kv;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import dev.wigeonward.common.store.KeyValue;
import dev.wigeonward.common.store.KeyValueStore;
import dev.wigeonward.common.store.Page;
import dev.wigeonward.common.store.ReadResult;
import dev.wigeonward.common.store.Transaction;
import dev.wigeonward.common.store.WatchListener;
import dev.wigeonward.common.store.WriteResult;

/** Store that forwards each call to another one; faulty stores override single methods. */
class ForwardingStore implements KeyValueStore {
    private final KeyValueStore store;

    ForwardingStore(KeyValueStore store) {
        this.store = store;
    }

    /** Returns a faulty store that reports a lost reply as success. */
    static KeyValueStore unknownIsApplied(KeyValueStore store) {
        return new ForwardingStore(store) {
            @Override
            public CompletableFuture<WriteResult> commit(Transaction transaction) {
                return super.commit(transaction)
                        .thenApply(result ->
                                result instanceof WriteResult.OutcomeUnknown ? new WriteResult.Applied(1) : result);
            }
        };
    }

    /** Returns a faulty store that writes without checking the conditions. */
    static KeyValueStore ignoringConditions(KeyValueStore store) {
        return new ForwardingStore(store) {
            @Override
            public CompletableFuture<WriteResult> commit(Transaction transaction) {
                return super.commit(new Transaction(List.of(), transaction.writes()));
            }
        };
    }

    @Override
    public CompletableFuture<ReadResult<Optional<KeyValue>>> get(String key) {
        return store.get(key);
    }

    @Override
    public CompletableFuture<ReadResult<Page>> range(String prefix, String afterKey, int limit) {
        return store.range(prefix, afterKey, limit);
    }

    @Override
    public CompletableFuture<WriteResult> commit(Transaction transaction) {
        return store.commit(transaction);
    }

    @Override
    public CompletableFuture<WriteResult> grantLease(long leaseId, long ttlSeconds) {
        return store.grantLease(leaseId, ttlSeconds);
    }

    @Override
    public CompletableFuture<ReadResult<Long>> keepLeaseAlive(long leaseId) {
        return store.keepLeaseAlive(leaseId);
    }

    @Override
    public CompletableFuture<WriteResult> revokeLease(long leaseId) {
        return store.revokeLease(leaseId);
    }

    @Override
    public AutoCloseable watch(String prefix, long fromRevision, WatchListener listener) {
        return store.watch(prefix, fromRevision, listener);
    }

    @Override
    public void close() {
        store.close();
    }
}
