package dev.wigeonward.common.ring;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import dev.wigeonward.common.clock.MonotonicClock;
import org.jctools.queues.MpscArrayQueue;

/**
 * A thread that takes items from a bounded ring, one at a time, and runs a periodic task between them.
 *
 * @param <T> type of the items
 */
public final class DutyThread<T> implements AutoCloseable {
    private static final Logger LOG = System.getLogger(DutyThread.class.getName());
    private static final int SPINS_BEFORE_PARK = 200;

    private final MpscArrayQueue<T> ring;
    private final Consumer<T> duty;
    private final Runnable periodic;
    private final long periodNanos;
    private final MonotonicClock clock = MonotonicClock.start();
    private final Thread thread;
    private volatile boolean parked;
    private volatile boolean stopped;

    private DutyThread(String name, int capacity, Consumer<T> duty, Runnable periodic, long periodMillis) {
        this.ring = new MpscArrayQueue<>(capacity);
        this.duty = Objects.requireNonNull(duty, "duty");
        this.periodic = Objects.requireNonNull(periodic, "periodic");
        this.periodNanos = TimeUnit.MILLISECONDS.toNanos(periodMillis);
        this.thread = new Thread(this::run, name);
        thread.setDaemon(true);
    }

    /** Starts a thread whose ring holds at most {@code capacity} items, rounded up to a power of two. */
    public static <T> DutyThread<T> start(
            String name, int capacity, Consumer<T> duty, Runnable periodic, long periodMillis) {
        DutyThread<T> started = new DutyThread<>(name, capacity, duty, periodic, periodMillis);
        started.thread.start();
        return started;
    }

    /** Returns false if the ring is full; the item is then not taken. */
    public boolean offer(T item) {
        if (!ring.offer(item)) {
            return false;
        }
        if (parked) {
            LockSupport.unpark(thread);
        }
        return true;
    }

    /** Waits for room and puts the item into the ring; for items that may not be lost, from threads that may wait. */
    public void put(T item) {
        while (!offer(item) && !stopped) {
            LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(50));
        }
    }

    /** Returns the number of items in the ring. */
    public int size() {
        return ring.size();
    }

    private void run() {
        long nextPeriodicNanos = clock.elapsedNanos() + periodNanos;
        while (!stopped) {
            T item = ring.poll();
            if (item != null) {
                guard(() -> duty.accept(item));
            }
            long leftNanos = nextPeriodicNanos - clock.elapsedNanos();
            if (leftNanos <= 0) {
                guard(periodic);
                nextPeriodicNanos = clock.elapsedNanos() + periodNanos;
            } else if (item == null) {
                await(leftNanos);
            }
        }
    }

    private void await(long leftNanos) {
        for (int spin = 0; spin < SPINS_BEFORE_PARK; spin++) {
            if (!ring.isEmpty()) {
                return;
            }
            Thread.onSpinWait();
        }
        parked = true;
        if (ring.isEmpty()) {
            LockSupport.parkNanos(this, leftNanos);
        }
        parked = false;
    }

    /** A fault in one item must not end the duty for all others. */
    private void guard(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, "duty " + thread.getName() + " failed on one item", e);
        }
    }

    /** Stops the thread after the item it is working on. */
    @Override
    public void close() {
        stopped = true;
        LockSupport.unpark(thread);
    }
}
