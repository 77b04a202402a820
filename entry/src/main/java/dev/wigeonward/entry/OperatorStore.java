package dev.wigeonward.entry;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.concurrent.ScheduledExecutorService;

import com.codahale.metrics.MetricRegistry;
import dev.wigeonward.common.clock.MonotonicClock;
import dev.wigeonward.common.ring.DaemonSchedulers;
import dev.wigeonward.common.store.EtcdRevisionStore;
import dev.wigeonward.common.store.EtcdStore;
import dev.wigeonward.common.store.StoreOptions;
import dev.wigeonward.core.revision.RevisionStore;

/** Connects operator commands to the store. They make few calls, which may wait longer than those of a process. */
final class OperatorStore {
    private static final long CALL_TIMEOUT_MILLIS = 3_000;
    private static final long WATCH_IDLE_MILLIS = 60_000;
    private static final int MAX_CALLS_IN_FLIGHT = 8;
    private static final double CALLS_PER_SECOND = 50;

    private OperatorStore() {}

    static RevisionStore connect(String host, int port) {
        ScheduledExecutorService thread = DaemonSchedulers.newSingleThreadScheduler("store");
        StoreOptions options = new StoreOptions(
                new InetSocketAddress(host, port),
                CALL_TIMEOUT_MILLIS,
                WATCH_IDLE_MILLIS,
                MAX_CALLS_IN_FLIGHT,
                CALLS_PER_SECOND,
                CALLS_PER_SECOND);
        EtcdStore store =
                EtcdStore.connect(options, MonotonicClock.start(), thread, new MetricRegistry(), new SecureRandom());
        return EtcdRevisionStore.create(store, CALL_TIMEOUT_MILLIS);
    }
}
