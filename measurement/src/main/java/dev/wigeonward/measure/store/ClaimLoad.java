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
import dev.wigeonward.common.store.ClaimReply;
import dev.wigeonward.common.store.ClaimRequest;
import dev.wigeonward.common.store.ClaimStore;
import dev.wigeonward.common.store.EtcdStore;
import dev.wigeonward.common.store.StoreOptions;
import dev.wigeonward.common.store.StoredOutcome;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.standins.kv.KvStandin;
import org.HdrHistogram.ConcurrentHistogram;

/** One entry's claims against a stand-in over loopback; each claim is granted and then gets a short outcome. */
final class ClaimLoad implements AutoCloseable {
    private static final int LARGEST_GROUP = 64;
    private static final int WARM_UP_CLAIMS = 2_000;
    private static final int OPEN_LOOP_SECONDS = 10;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int OUTCOME_BYTES = 200;
    private static final long TIMEOUT_SECONDS = 120;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;

    private final MonotonicClock clock = MonotonicClock.start();
    private final MetricRegistry metrics = new MetricRegistry();
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor();
    private final ScheduledExecutorService arrivals = Executors.newSingleThreadScheduledExecutor();
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
        this.store = EtcdStore.connect(options, clock, thread, metrics, random);
        this.claims = ClaimStore.create(store, clock, thread, metrics, random, groupSize);
    }

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

    /** Returns the result of claims of which two groups wait at any time. */
    static Result closedLoop(long seed, int groupSize, int count) {
        try (ClaimLoad load = new ClaimLoad(seed, groupSize)) {
            load.runClosed(2 * groupSize, WARM_UP_CLAIMS);
            return load.measured(count, () -> load.runClosed(2 * groupSize, count));
        }
    }

    /** Returns the result of claims that arrive at random times. */
    static Result openLoop(long seed, double claimsPerSecond) {
        try (ClaimLoad load = new ClaimLoad(seed, LARGEST_GROUP)) {
            load.runClosed(LARGEST_GROUP, WARM_UP_CLAIMS);
            int count = Math.max(1, (int) (claimsPerSecond * OPEN_LOOP_SECONDS));
            return load.measured(count, () -> load.runOpen(new Random(seed), claimsPerSecond, count));
        }
    }

    private Result measured(int count, Runnable run) {
        latencyNanos = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
        granted = new AtomicInteger();
        recorded = new AtomicInteger();
        long callsBefore = metrics.counter("store.calls.txn").getCount();
        long startNanos = clock.elapsedNanos();
        run.run();
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
        AtomicInteger left = new AtomicInteger(count);
        CountDownLatch done = new CountDownLatch(count);
        for (int i = 0; i < outstanding; i++) {
            next(left, done);
        }
        await(done);
    }

    private void next(AtomicInteger left, CountDownLatch done) {
        if (left.getAndDecrement() > 0) {
            claim(() -> {
                done.countDown();
                next(left, done);
            });
        }
    }

    private void runOpen(Random random, double claimsPerSecond, int count) {
        CountDownLatch done = new CountDownLatch(count);
        double atSeconds = 0;
        for (int i = 0; i < count; i++) {
            atSeconds += -Math.log(1 - random.nextDouble()) / claimsPerSecond;
            arrivals.schedule(
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
        claims.claim(nextRequest()).thenAccept(reply -> {
            latencyNanos.recordValue(clock.elapsedNanos() - startNanos);
            record(reply, done);
        });
    }

    private void record(ClaimReply reply, Runnable done) {
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
                throw new IllegalStateException(done.getCount() + " claims without an answer");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    @Override
    public void close() {
        arrivals.shutdownNow();
        store.close();
        standin.close();
        thread.shutdownNow();
    }
}
