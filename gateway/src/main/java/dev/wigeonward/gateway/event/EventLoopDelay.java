package dev.wigeonward.gateway.event;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Measures by how much a periodic task of the event loop runs late, which is how late any of its events is handled. */
public final class EventLoopDelay {
    private static final long PERIOD_MILLIS = 100;
    /** Delay above which a line is logged; half of the time within which the close of a caller must take effect. */
    private static final long LOGGED_DELAY_MILLIS = 250;

    private final Telemetry telemetry;
    private final LongSupplier nowMillis;
    private long expectedAtMillis;

    private EventLoopDelay(Telemetry telemetry, LongSupplier nowMillis) {
        this.telemetry = telemetry;
        this.nowMillis = nowMillis;
    }

    /** Starts to measure the delay of the loop, as the histogram {@code loop.delay_millis}. */
    public static void start(ScheduledExecutorService loop, Telemetry telemetry, LongSupplier nowMillis) {
        EventLoopDelay delay = new EventLoopDelay(telemetry, nowMillis);
        delay.schedule(loop);
    }

    private void schedule(ScheduledExecutorService loop) {
        expectedAtMillis = nowMillis.getAsLong() + PERIOD_MILLIS;
        loop.schedule(
                () -> {
                    record();
                    schedule(loop);
                },
                PERIOD_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void record() {
        long delayMillis = Math.max(0, nowMillis.getAsLong() - expectedAtMillis);
        telemetry.recordTime("loop.delay_millis", delayMillis);
        if (delayMillis > LOGGED_DELAY_MILLIS) {
            telemetry.log().warning("loop_delayed", "millis=" + delayMillis);
        }
    }
}
