package dev.wigeonward.gateway.event;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Tells at any moment whether the event loop is late, by a periodic timer that is overdue. Timers run after the input
 * of a turn, so that a handler of input cannot rely on a timeout having run before it. Runs on the event loop.
 */
public final class LoopLateness {
    private static final long PERIOD_MILLIS = 20;
    /** Time by which the timer may be overdue while the loop counts as on time; timers are rounded to milliseconds. */
    private static final long TOLERANCE_MILLIS = 5;

    private final LongSupplier nowMillis;
    private final List<Runnable> deferred = new ArrayList<>();
    private boolean started;
    /** Whether the loop was late in the previous turn. */
    private boolean recovering;
    /** Time of the last turn that was on time. */
    private long onTimeAtMillis;

    private long lastTurnMillis;

    private LoopLateness(LongSupplier nowMillis) {
        this.nowMillis = nowMillis;
    }

    /** Returns a measure of a loop that never counts as late. */
    public static LoopLateness none() {
        return new LoopLateness(() -> 0);
    }

    /** Starts to measure the lateness of the loop. */
    public static LoopLateness start(ScheduledExecutorService loop, LongSupplier nowMillis) {
        LoopLateness lateness = new LoopLateness(nowMillis);
        loop.execute(() -> {
            lateness.started = true;
            lateness.onTimeAtMillis = nowMillis.getAsLong();
            lateness.schedule(loop);
        });
        return lateness;
    }

    private void schedule(ScheduledExecutorService loop) {
        lastTurnMillis = nowMillis.getAsLong();
        loop.schedule(() -> onTurn(loop), PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void onTurn(ScheduledExecutorService loop) {
        if (isLate()) {
            // New connections are accepted in this turn and first read in the next. A timer that is set now runs
            // behind the input of that turn.
            recovering = true;
            loop.schedule(this::onRecovered, 1, TimeUnit.NANOSECONDS);
        } else {
            onTimeAtMillis = nowMillis.getAsLong();
        }
        schedule(loop);
    }

    private void onRecovered() {
        recovering = false;
        onTimeAtMillis = lastTurnMillis;
        List<Runnable> due = List.copyOf(deferred);
        deferred.clear();
        due.forEach(Runnable::run);
    }

    /** Returns whether the loop has not completed a turn in time, so that input may wait unread. */
    public boolean isLate() {
        return recovering || started && nowMillis.getAsLong() - lastTurnMillis > PERIOD_MILLIS + TOLERANCE_MILLIS;
    }

    /** Returns the earliest time at which input that is read now may have arrived. */
    public long earliestArrivalMillis() {
        return isLate() ? onTimeAtMillis : nowMillis.getAsLong();
    }

    /** Runs the action now, or if the loop is late, once it has handled the input that is waiting. */
    public void runWhenCurrent(Runnable action) {
        if (isLate()) {
            deferred.add(action);
        } else {
            action.run();
        }
    }
}
