package dev.wigeonward.core.schedule.pace;

import java.util.ArrayDeque;
import java.util.Deque;

/** Count of the requests that this entry has placed on an upstream within the last second. Not thread-safe. */
final class PlacementWindow {
    /**
     * Length of the window: one second and the time by which a request that waits for a connection may arrive later
     * than the ones after it.
     */
    static final long WINDOW_MILLIS = 1_100;

    private final Deque<Long> placedAtMillis = new ArrayDeque<>();

    void add(long nowMillis) {
        placedAtMillis.addLast(nowMillis);
    }

    /**
     * Returns how many further requests the given number in a window allows now if they are spread evenly over it, 0 or
     * 1. Without the spread, requests of two windows that are delayed differently could arrive in one second.
     */
    int leftSpread(int mostInWindow, long nowMillis) {
        boolean spread = placedAtMillis.isEmpty()
                || nowMillis - placedAtMillis.getLast() >= WINDOW_MILLIS / Math.max(1, mostInWindow);
        return spread && count(nowMillis) < mostInWindow ? 1 : 0;
    }

    int count(long nowMillis) {
        while (!placedAtMillis.isEmpty() && nowMillis - placedAtMillis.getFirst() >= WINDOW_MILLIS) {
            placedAtMillis.removeFirst();
        }
        return placedAtMillis.size();
    }
}
