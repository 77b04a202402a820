package dev.wigeonward.gateway.event;

import com.codahale.metrics.MetricRegistry;

/** Where a process tells what it does: counters, and a log of the event loop. */
public record Telemetry(MetricRegistry metrics, EventLog log) {
    /** Counts an event. */
    public void count(String name) {
        metrics.counter(name).inc();
    }
}
