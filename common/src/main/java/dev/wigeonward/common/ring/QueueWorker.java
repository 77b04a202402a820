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
 * Thread that processes items from a bounded queue one at a time and runs a periodic task between them. Any thread may
 * add items.
 *
 * @param <T> type of the items
 */
public final class QueueWorker<T> implements AutoCloseable {
    private static final Logger LOG = System.getLogger(QueueWorker.class.getName());
    private static final int SPINS_BEFORE_PARKING = 200;

    private final MpscArrayQueue<T> queue;
    private final Consumer<T> itemHandler;
    private final Runnable periodic;
    private final long periodNanos;
    private final MonotonicClock clock = MonotonicClock.start();
    private final Thread thread;
    private volatile boolean parked;
    private volatile boolean stopped;

    private QueueWorker(String name, int capacity, Consumer<T> itemHandler, Runnable periodic, long periodMillis) {
        this.queue = new MpscArrayQueue<>(capacity);
        this.itemHandler = Objects.requireNonNull(itemHandler, "itemHandler");
        this.periodic = Objects.requireNonNull(periodic, "periodic");
        this.periodNanos = TimeUnit.MILLISECONDS.toNanos(periodMillis);
        this.thread = new Thread(this::run, name);
        thread.setDaemon(true);
    }

    /**
     * Creates a worker and starts its thread.
     *
     * @param capacity most items in the queue, rounded up to a power of two
     * @param itemHandler processes one item
     * @param periodic runs about once every {@code periodMillis}
     */
    public static <T> QueueWorker<T> start(
            String name, int capacity, Consumer<T> itemHandler, Runnable periodic, long periodMillis) {
        QueueWorker<T> worker = new QueueWorker<>(name, capacity, itemHandler, periodic, periodMillis);
        worker.thread.start();
        return worker;
    }

    /** Adds an item and returns true, or returns false without adding it if the queue is full. */
    public boolean offer(T item) {
        if (!queue.offer(item)) {
            return false;
        }
        if (parked) {
            LockSupport.unpark(thread);
        }
        return true;
    }

    /**
     * Adds an item, waiting while the queue is full. For items that must not be lost, from threads that may block. An
     * item is dropped only if the thread was stopped.
     */
    public void put(T item) {
        while (!offer(item) && !stopped) {
            LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(50));
        }
    }

    /** Returns the number of items in the queue. */
    public int size() {
        return queue.size();
    }

    private void run() {
        long nextPeriodicNanos = clock.elapsedNanos() + periodNanos;
        while (!stopped) {
            T item = queue.poll();
            if (item != null) {
                runAndLogFailure(() -> itemHandler.accept(item));
            }
            long leftNanos = nextPeriodicNanos - clock.elapsedNanos();
            if (leftNanos <= 0) {
                runAndLogFailure(periodic);
                nextPeriodicNanos = clock.elapsedNanos() + periodNanos;
            } else if (item == null) {
                awaitItem(leftNanos);
            }
        }
    }

    private void awaitItem(long leftNanos) {
        for (int spin = 0; spin < SPINS_BEFORE_PARKING; spin++) {
            if (!queue.isEmpty()) {
                return;
            }
            Thread.onSpinWait();
        }
        parked = true;
        if (queue.isEmpty()) {
            LockSupport.parkNanos(this, leftNanos);
        }
        parked = false;
    }

    /** Runs a task and logs its exception, so that the failure of one item does not end the thread. */
    private void runAndLogFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, "thread " + thread.getName() + " failed to process an item or its periodic task", e);
        }
    }

    /** Stops the thread after the item that it is processing. Items that are left in the queue are not processed. */
    @Override
    public void close() {
        stopped = true;
        LockSupport.unpark(thread);
    }
}
