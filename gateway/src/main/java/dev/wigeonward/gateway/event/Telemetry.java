package dev.wigeonward.gateway.event;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingWindowReservoir;

/** Metrics and event log of a process. */
public record Telemetry(MetricRegistry metrics, EventLog log) {
    /** Number of times that a histogram covers: a few seconds of a busy entry, four kilobytes per histogram. */
    private static final int HISTOGRAM_WINDOW = 512;

    /**
     * Returns an action that runs the given one and logs and counts its unexpected exceptions. An event loop would end
     * a periodic task silently after the first exception.
     */
    public Runnable guard(String task, Runnable action) {
        return () -> {
            try {
                action.run();
            } catch (RuntimeException e) {
                onUnexpected(task, e);
            }
        };
    }

    /** Logs and counts an unexpected exception that costs only the message or the round in which it was thrown. */
    public void onUnexpected(String task, RuntimeException exception) {
        count("unexpected_errors");
        StackTraceElement[] trace = exception.getStackTrace();
        log.warning(
                "unexpected_error",
                "task=" + task + " cause=" + exception + " at=" + (trace.length == 0 ? "unknown" : trace[0]));
    }

    /** Increments a counter. */
    public void count(String name) {
        metrics.counter(name).inc();
    }

    /** Adds a number to a counter. */
    public void count(String name, long number) {
        metrics.counter(name).inc(number);
    }

    /** Adds a time to a histogram that covers the last {@link #HISTOGRAM_WINDOW} times. */
    public void recordTime(String name, long millis) {
        metrics.histogram(name, () -> new Histogram(new SlidingWindowReservoir(HISTOGRAM_WINDOW)))
                .update(millis);
    }
}
