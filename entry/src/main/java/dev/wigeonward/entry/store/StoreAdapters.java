package dev.wigeonward.entry.store;

import java.security.SecureRandom;
import java.time.Clock;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import dev.wigeonward.common.ring.DaemonThreads;
import dev.wigeonward.common.store.ClaimStore;
import dev.wigeonward.common.store.ControllerListener;
import dev.wigeonward.common.store.EtcdRevisionStore;
import dev.wigeonward.common.store.EtcdStore;
import dev.wigeonward.common.store.KeyValueStore;
import dev.wigeonward.common.store.StoreControllerLease;
import dev.wigeonward.common.store.StoreOptions;
import dev.wigeonward.core.revision.RevisionStore;
import dev.wigeonward.entry.control.HeadWatch;

/** All that an entry does at the store, on a thread of its own. */
public final class StoreAdapters implements AutoCloseable {
    private final ScheduledExecutorService thread = DaemonThreads.scheduler("store");
    private final SecureRandom random = new SecureRandom();
    private final KeyValueStore store;
    private final EtcdRevisionStore revisions;
    private final StoreClaims claims;
    private final StoreMoves moves;
    private final StoreControllerLease lease;

    /** Returns adapters that connect with their first call. */
    public StoreAdapters(StoreOptions options, String entryId, Clock clock, MetricRegistry metrics) {
        this.store = EtcdStore.connect(options, clock, thread, metrics, random);
        this.revisions = EtcdRevisionStore.create(store, options.callTimeoutMillis());
        this.claims = new StoreClaims(ClaimStore.create(store, clock, thread, metrics, random));
        this.moves = new StoreMoves(store);
        this.lease = StoreControllerLease.create(store, clock, thread, random, entryId, new Silent());
    }

    /** Returns the store itself. */
    public KeyValueStore store() {
        return store;
    }

    /** Returns the durable claims. */
    public StoreClaims claims() {
        return claims;
    }

    /** Returns the move records. */
    public StoreMoves moves() {
        return moves;
    }

    /** Returns the controller lease. */
    public StoreControllerLease lease() {
        return lease;
    }

    /** Returns a watch on the newest revision that is not active yet. */
    public HeadWatch headWatch(Consumer<RevisionStore.HeadResult> listener) {
        return new StoreHeadWatch(
                listening -> dev.wigeonward.common.store.HeadWatch.start(store, revisions, thread, random, listening),
                listener);
    }

    @Override
    public void close() {
        lease.close();
        store.close();
        thread.shutdown();
    }

    /** The control plane asks for the lease itself at each tick. */
    private static final class Silent implements ControllerListener {
        @Override
        public void acquired(long fencingNumber) {}

        @Override
        public void lost() {}
    }
}
