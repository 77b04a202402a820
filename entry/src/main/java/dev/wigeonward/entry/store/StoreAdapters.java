package dev.wigeonward.entry.store;

import java.security.SecureRandom;
import java.time.Clock;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import dev.wigeonward.common.ring.DaemonSchedulers;
import dev.wigeonward.common.store.ClaimStore;
import dev.wigeonward.common.store.ControllerLease;
import dev.wigeonward.common.store.ControllerLeaseListener;
import dev.wigeonward.common.store.EtcdRevisionStore;
import dev.wigeonward.common.store.EtcdStore;
import dev.wigeonward.common.store.KeyValueStore;
import dev.wigeonward.common.store.StoreOptions;
import dev.wigeonward.core.revision.RevisionStore;
import dev.wigeonward.entry.control.RevisionWatch;

/** The store connection of an entry and the adapters that use it, with a thread of their own. */
public final class StoreAdapters implements AutoCloseable {
    private final ScheduledExecutorService thread = DaemonSchedulers.newSingleThreadScheduler("store");
    private final SecureRandom random = new SecureRandom();
    private final KeyValueStore store;
    private final EtcdRevisionStore revisions;
    private final StoredClaims claims;
    private final StoredRolloutRecords rolloutRecords;
    private final ControllerLease lease;

    /** Creates the adapters; the connection is opened by the first call. */
    public StoreAdapters(StoreOptions options, String entryId, Clock clock, MetricRegistry metrics) {
        this.store = EtcdStore.connect(options, clock, thread, metrics, random);
        this.revisions = EtcdRevisionStore.create(store, options.callTimeoutMillis());
        this.claims = new StoredClaims(ClaimStore.create(store, clock, thread, metrics, random));
        this.rolloutRecords = new StoredRolloutRecords(store);
        this.lease = ControllerLease.create(store, clock, thread, random, entryId, new NoOpControllerListener());
    }

    /** Returns the store that all adapters share. */
    public KeyValueStore store() {
        return store;
    }

    /** Returns the adapter for durable claims. */
    public StoredClaims claims() {
        return claims;
    }

    /** Returns the adapter for rollout records. */
    public StoredRolloutRecords rolloutRecords() {
        return rolloutRecords;
    }

    /** Returns the controller lease. */
    public ControllerLease lease() {
        return lease;
    }

    /** Returns an inactive watch on the newest revision, which reports to the listener while it is active. */
    public RevisionWatch revisionWatch(Consumer<RevisionStore.HeadResult> listener) {
        return new StoreHeadWatch(
                listening -> dev.wigeonward.common.store.RevisionHeadWatch.start(
                        store, revisions, thread, random, listening),
                listener);
    }

    @Override
    public void close() {
        lease.close();
        store.close();
        thread.shutdown();
    }

    /** Ignores changes of the lease, which the control plane polls. */
    private static final class NoOpControllerListener implements ControllerLeaseListener {
        @Override
        public void onAcquired(long fencingNumber) {}

        @Override
        public void onLost() {}
    }
}
