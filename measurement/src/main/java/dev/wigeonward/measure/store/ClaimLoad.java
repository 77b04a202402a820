package dev.wigeonward.measure.store;

import java.net.InetSocketAddress;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.codahale.metrics.MetricRegistry;
import dev.wigeonward.common.clock.MonotonicClock;
import dev.wigeonward.common.store.ClaimKey;
import dev.wigeonward.common.store.ClaimRequest;
import dev.wigeonward.common.store.ClaimResponse;
import dev.wigeonward.common.store.ClaimStore;
import dev.wigeonward.common.store.EtcdStore;
import dev.wigeonward.common.store.StoreOptions;
import dev.wigeonward.common.store.StoredOutcome;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.standins.kv.KvStandin;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Sends the claims of one entry to the key-value stand-in over loopback. Each claim is for a new key, and a short
 * outcome is stored for it once it is granted.
 */
final class ClaimLoad implements AutoCloseable {
    private static final int MAX_GROUP_SIZE = 64;
    private static final int WARM_UP_CLAIMS = 2_000;
    private static final int OPEN_LOOP_SECONDS = 10;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int OUTCOME_BYTES = 200;
    private static final long TIMEOUT_SECONDS = 120;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;

    private final MonotonicClock clock = MonotonicClock.start();
    private final MetricRegistry metrics = new MetricRegistry();
    private final ScheduledExecutorService storeExecutor = Executors.newSingleThreadScheduledExecutor();
    private final ScheduledExecutorService arrivalExecutor = Executors.newSingleThreadScheduledExecutor();
    private final KvStandin standin = KvStandin.start(new InetSocketAddress("127.0.0.1", 0), clock);
    private final EtcdStore store;
    private final ClaimStore claims;
    private final StoredOutcome outcome = StoredOutcome.of(200, "application/json", new byte[OUTCOME_BYTES]);
    private ConcurrentHistogram latencyNanos = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
    private AtomicInteger granted = new AtomicInteger();
    private AtomicInteger recorded = new AtomicInteger();
    private int nextKey;

    private ClaimLoad(long seed, int groupSize) {
        Random random = new Random(seed);
        StoreOptions options = new StoreOptions(standin.address(), 10_000, 10_000, 1_000, 100_000, 100_000);
        this.store = EtcdStore.connect(options, clock, storeExecutor, metrics, random);
        this.claims = ClaimStore.create(store, clock, storeExecutor, metrics, random, groupSize);
    }

    /**
     * Result of a measured load.
     *
     * @param claims number of claims sent
     * @param granted number of claims granted
     * @param recorded number of claims whose outcome was stored
     * @param transactions number of calls to the store
     * @param seconds duration of the load
     * @param medianMillis median time until a claim is answered
     * @param percentile99Millis 99th percentile of that time
     */
    record Result(
            int claims,
            int granted,
            int recorded,
            long transactions,
            double seconds,
            double medianMillis,
            double percentile99Millis) {
        double callsPerClaim() {
            return transactions / (double) claims;
        }

        double claimsPerSecond() {
            return claims / seconds;
        }
    }

    /** Runs claims in a closed loop that keeps two groups of claims outstanding, and returns the result. */
    static Result closedLoop(long seed, int groupSize, int count) {
        try (ClaimLoad load = new ClaimLoad(seed, groupSize)) {
            load.runClosed(2 * groupSize, WARM_UP_CLAIMS);
            return load.measure(count, () -> load.runClosed(2 * groupSize, count));
        }
    }

    /** Runs claims that arrive at random times at the given rate for 10 s, and returns the result. */
    static Result openLoop(long seed, double claimsPerSecond) {
        try (ClaimLoad load = new ClaimLoad(seed, MAX_GROUP_SIZE)) {
            load.runClosed(MAX_GROUP_SIZE, WARM_UP_CLAIMS);
            int count = Math.max(1, (int) (claimsPerSecond * OPEN_LOOP_SECONDS));
            return load.measure(count, () -> load.runOpen(new Random(seed), claimsPerSecond, count));
        }
    }

    private Result measure(int count, Runnable load) {
        latencyNanos = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
        granted = new AtomicInteger();
        recorded = new AtomicInteger();
        long callsBefore = metrics.counter("store.calls.txn").getCount();
        long startNanos = clock.elapsedNanos();
        load.run();
        double seconds = (clock.elapsedNanos() - startNanos) / NANOS_PER_SECOND;
        return new Result(
                count,
                granted.get(),
                recorded.get(),
                metrics.counter("store.calls.txn").getCount() - callsBefore,
                seconds,
                latencyNanos.getValueAtPercentile(50) / NANOS_PER_MILLI,
                latencyNanos.getValueAtPercentile(99) / NANOS_PER_MILLI);
    }

    private void runClosed(int outstanding, int count) {
        AtomicInteger remaining = new AtomicInteger(count);
        CountDownLatch done = new CountDownLatch(count);
        for (int i = 0; i < outstanding; i++) {
            claimNext(remaining, done);
        }
        await(done);
    }

    private void claimNext(AtomicInteger remaining, CountDownLatch done) {
        if (remaining.getAndDecrement() > 0) {
            claim(() -> {
                done.countDown();
                claimNext(remaining, done);
            });
        }
    }

    private void runOpen(Random random, double claimsPerSecond, int count) {
        CountDownLatch done = new CountDownLatch(count);
        double atSeconds = 0;
        for (int i = 0; i < count; i++) {
            atSeconds += -Math.log(1 - random.nextDouble()) / claimsPerSecond;
            arrivalExecutor.schedule(
                    () -> claim(done::countDown), (long) (atSeconds * NANOS_PER_SECOND), TimeUnit.NANOSECONDS);
        }
        await(done);
    }

    private synchronized ClaimRequest nextRequest() {
        int number = nextKey++;
        return new ClaimRequest(ClaimKey.of("w", "k" + number), new RequestId("r" + number), "f", "u1", 1);
    }

    private void claim(Runnable done) {
        long startNanos = clock.elapsedNanos();
        claims.acquire(nextRequest()).thenAccept(reply -> {
            latencyNanos.recordValue(clock.elapsedNanos() - startNanos);
            recordOutcome(reply, done);
        });
    }

    /** Stores an outcome for a granted claim, then runs {@code done}; runs it at once if the claim was not granted. */
    private void recordOutcome(ClaimResponse reply, Runnable done) {
        if (reply.claim().isEmpty()) {
            done.run();
            return;
        }
        granted.incrementAndGet();
        claims.recordOutcome(reply.claim().get(), outcome).thenAccept(stored -> {
            if (stored) {
                recorded.incrementAndGet();
            }
            done.run();
        });
    }

    private static void await(CountDownLatch done) {
        try {
            if (!done.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new IllegalStateException(
                        done.getCount() + " claims are unfinished after " + TIMEOUT_SECONDS + " s");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting for claims to finish", e);
        }
    }

    @Override
    public void close() {
        arrivalExecutor.shutdownNow();
        store.close();
        standin.close();
        storeExecutor.shutdownNow();
    }
}
