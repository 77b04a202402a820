package dev.wigeonward.measure.goodput;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/** Runs actions in the order of their time on a clock that stands still in between. */
final class EventLoop {
    private static final Comparator<Event> BY_TIME =
            Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence);

    private final PriorityQueue<Event> events = new PriorityQueue<>(BY_TIME);
    private long nowMillis;
    private long nextSequence;

    void at(long atMillis, Runnable action) {
        events.add(new Event(Math.max(nowMillis, atMillis), nextSequence++, action));
    }

    void after(long delayMillis, Runnable action) {
        at(nowMillis + delayMillis, action);
    }

    void every(long periodMillis, BooleanSupplier goesOn, Runnable action) {
        after(periodMillis, () -> {
            action.run();
            if (goesOn.getAsBoolean()) {
                every(periodMillis, goesOn, action);
            }
        });
    }

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
