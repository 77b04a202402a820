package dev.wigeonward.gateway.process;

import com.codahale.metrics.MetricRegistry;

/** Text form of the counters: a name and a number in each line. */
final class MetricsText {
    private MetricsText() {}

    static String of(MetricRegistry metrics) {
        StringBuilder text = new StringBuilder();
        metrics.getCounters().forEach((name, counter) -> text.append("wigeonward_")
                .append(name.replace('.', '_'))
                .append(' ')
                .append(counter.getCount())
                .append('\n'));
        return text.toString();
    }
}
