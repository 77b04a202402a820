package dev.wigeonward.verification.faults;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Simulated clock with a queue of scheduled actions. Actions due at the same time run in the order of scheduling. */
class EventScheduler {
    private final PriorityQueue<Action> actions =
            new PriorityQueue<>(Comparator.comparingLong(Action::atMillis).thenComparingLong(Action::sequence));
    private long nowMillis = 1_000;
    private long sequence;

    private record Action(long atMillis, long sequence, Runnable code) {}

    final long now() {
        return nowMillis;
    }

    /** Schedules an action at a delay from the simulated time. */
    final void after(long delayMillis, Runnable code) {
        actions.add(new Action(nowMillis + delayMillis, sequence++, code));
    }

    /** Advances the simulated time by a duration and runs the actions that become due. */
    final void runFor(long durationMillis) {
        long endMillis = nowMillis + durationMillis;
        while (!actions.isEmpty() && actions.peek().atMillis() <= endMillis) {
            Action next = actions.poll();
            nowMillis = next.atMillis();
            next.code().run();
        }
        nowMillis = endMillis;
    }
}
