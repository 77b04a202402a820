package dev.wigeonward.gateway.event;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingWindowReservoir;

/** Where a process tells what it does: counters, and a log of the event loop. */
public record Telemetry(MetricRegistry metrics, EventLog log) {
    /** Some seconds of a busy entry, four kilobytes for each histogram. */
    private static final int REMEMBERED_TIMES = 512;

    /** Counts an event. */
    public void count(String name) {
        metrics.counter(name).inc();
    }

    /** Adds a time to the histogram of the last few hundred ones. */
    public void time(String name, long millis) {
        metrics.histogram(name, () -> new Histogram(new SlidingWindowReservoir(REMEMBERED_TIMES)))
                .update(millis);
    }
}
