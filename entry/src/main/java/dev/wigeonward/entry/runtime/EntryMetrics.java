package dev.wigeonward.entry.runtime;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.request.Tier;

/** Counters, meters and timers of an entry, kept in a Dropwizard metric registry. */
public final class EntryMetrics {
    private final MetricRegistry registry = new MetricRegistry();
    private final Map<ErrorKind, Counter> failures = new EnumMap<>(ErrorKind.class);
    private final Map<Tier, Meter> arrivals = new EnumMap<>(Tier.class);
    private final Map<Tier, Meter> completions = new EnumMap<>(Tier.class);
    private final Timer decisionTimer = registry.timer("decision");

    public EntryMetrics() {
        for (ErrorKind kind : ErrorKind.values()) {
            failures.put(kind, registry.counter("failures." + kind.wireName()));
        }
        for (Tier tier : Tier.values()) {
            arrivals.put(tier, registry.meter("arrivals." + tier.lowerCaseName()));
            completions.put(tier, registry.meter("completions." + tier.lowerCaseName()));
        }
    }

    void arrived(Tier tier) {
        arrivals.get(tier).mark();
    }

    void completed(Tier tier) {
        completions.get(tier).mark();
    }

    void failed(ErrorKind kind) {
        failures.get(kind).inc();
    }

    Timer decisionTimer() {
        return decisionTimer;
    }

    /** Returns the number of errors sent to callers by error kind, without kinds that never occurred. */
    public Map<String, Long> failuresByKind() {
        Map<String, Long> counts = new TreeMap<>();
        failures.forEach((kind, counter) -> {
            if (counter.getCount() > 0) {
                counts.put(kind.wireName(), counter.getCount());
            }
        });
        return counts;
    }

    /** Returns the registry, to which other components add their metrics. */
    public MetricRegistry registry() {
        return registry;
    }

    /** Returns the counts of all counters, meters and timers and the 99th percentiles of the timers, by name. */
    public Map<String, Object> snapshot() {
        Map<String, Object> values = new TreeMap<>();
        registry.getCounters().forEach((name, counter) -> values.put(name, counter.getCount()));
        registry.getMeters().forEach((name, meter) -> values.put(name, meter.getCount()));
        registry.getTimers().forEach((name, timer) -> {
            values.put(name + ".count", timer.getCount());
            values.put(name + ".p99_micros", timer.getSnapshot().get99thPercentile() / 1_000);
        });
        return values;
    }
}
