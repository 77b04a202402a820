package dev.wigeonward.gateway.event;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingWindowReservoir;

/** Metrics and event log of a process. */
public record Telemetry(MetricRegistry metrics, EventLog log) {
    /** Number of times that a histogram covers: a few seconds of a busy entry, four kilobytes per histogram. */
    private static final int HISTOGRAM_WINDOW = 512;

    /** Increments a counter. */
    public void count(String name) {
        metrics.counter(name).inc();
    }

    /** Adds a time to a histogram that covers the last {@link #HISTOGRAM_WINDOW} times. */
    public void recordTime(String name, long millis) {
        metrics.histogram(name, () -> new Histogram(new SlidingWindowReservoir(HISTOGRAM_WINDOW)))
                .update(millis);
    }
}
