package dev.wigeonward.standins.kv;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.codahale.metrics.MetricRegistry;
import dev.wigeonward.platform.clock.MonotonicClock;
import dev.wigeonward.platform.clock.PausedClock;
import dev.wigeonward.platform.store.EtcdStore;
import dev.wigeonward.platform.store.StoreOptions;

import static org.assertj.core.api.Assertions.assertThat;

/** A key-value stand-in whose leases follow a paused clock, and a client connected to it over loopback. */
final class StoreFixture implements AutoCloseable {
    static final long CALL_TIMEOUT_MILLIS = 400;
    private static final Duration BOUND = Duration.ofSeconds(20);

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

    /** Starts an empty service on the address of the stopped one. */
    void restartStandin() {
        standin = KvStandin.start(standin.address(), clock);
    }

    static <T> T await(CompletableFuture<T> future) {
        try {
            return future.get(BOUND.toMillis(), TimeUnit.MILLISECONDS);
        } catch (Exception e) {
            throw new AssertionError("no result", e);
        }
    }

    static void awaitUntil(String what, BooleanSupplier condition) {
        long endNanos = System.nanoTime() + BOUND.toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("waiting for " + what).isLessThan(endNanos);
            Thread.onSpinWait();
        }
    }

    @Override
    public void close() {
        store.close();
        standin.close();
        thread.shutdownNow();
    }
}
