package dev.wigeonward.measure.goodput;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/**
 * A discrete-event loop. The simulated clock advances to the time of each action and stands still while it runs;
 * actions of the same time run in the order in which they were scheduled.
 */
final class EventLoop {
    private static final Comparator<Event> BY_TIME =
            Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence);

    private final PriorityQueue<Event> events = new PriorityQueue<>(BY_TIME);
    private long nowMillis;
    private long nextSequence;

    /** Schedules an action at the given time, or at the current time if that is later. */
    void at(long atMillis, Runnable action) {
        events.add(new Event(Math.max(nowMillis, atMillis), nextSequence++, action));
    }

    /** Schedules an action after a delay. */
    void after(long delayMillis, Runnable action) {
        at(nowMillis + delayMillis, action);
    }

    /** Schedules an action periodically; after each run, {@code shouldContinue} decides whether it runs again. */
    void every(long periodMillis, BooleanSupplier shouldContinue, Runnable action) {
        after(periodMillis, () -> {
            action.run();
            if (shouldContinue.getAsBoolean()) {
                every(periodMillis, shouldContinue, action);
            }
        });
    }

    /** Runs actions until none is scheduled. */
    void run() {
        while (!events.isEmpty()) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.action().run();
        }
    }

    long nowMillis() {
        return nowMillis;
    }

    private record Event(long atMillis, long sequence, Runnable action) {}
}
