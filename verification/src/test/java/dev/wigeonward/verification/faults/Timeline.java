package dev.wigeonward.verification.faults;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A paused clock and the actions that are due at later times; equal times keep the order of scheduling. */
class Timeline {
    private final PriorityQueue<Action> actions =
            new PriorityQueue<>(Comparator.comparingLong(Action::atMillis).thenComparingLong(Action::sequence));
    private long nowMillis = 1_000;
    private long sequence;

    private record Action(long atMillis, long sequence, Runnable code) {}

    final long now() {
        return nowMillis;
    }

    final void after(long delayMillis, Runnable code) {
        actions.add(new Action(nowMillis + delayMillis, sequence++, code));
    }

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
