package dev.wigeonward.standins.kv;

import java.net.InetSocketAddress;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import com.codahale.metrics.MetricRegistry;
import dev.wigeonward.common.clock.MonotonicClock;
import dev.wigeonward.common.clock.PausedClock;
import dev.wigeonward.common.store.EtcdStore;
import dev.wigeonward.common.store.StoreOptions;

/** Key-value stand-in whose leases expire by a paused clock, with a client connected over loopback. */
final class StoreFixture implements AutoCloseable {
    static final long CALL_TIMEOUT_MILLIS = 400;

    final PausedClock clock = PausedClock.at(1_000_000_000_000L);
    final MetricRegistry metrics = new MetricRegistry();
    final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor();
    KvStandin standin = KvStandin.start(new InetSocketAddress("127.0.0.1", 0), clock, 50);
    final EtcdStore store = connect(1_000, 1_000, 64);

    EtcdStore connect(double readsPerSecond, double writesPerSecond, int callsInFlight) {
        StoreOptions options = new StoreOptions(
                standin.address(), CALL_TIMEOUT_MILLIS, 500, callsInFlight, readsPerSecond, writesPerSecond);
        return EtcdStore.connect(options, MonotonicClock.start(), thread, metrics, new Random(1));
    }

    void stopStandin() {
        standin.close();
    }

    /** Starts an empty stand-in on the address of the stopped one. */
    void restartStandin() {
        standin = KvStandin.start(standin.address(), clock);
    }

    @Override
    public void close() {
        store.close();
        standin.close();
        thread.shutdownNow();
    }
}
