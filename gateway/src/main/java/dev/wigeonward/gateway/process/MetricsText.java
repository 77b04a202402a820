package dev.wigeonward.gateway.process;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;

/** Text format of the metrics: a name and a number per line. Histograms cover the last few hundred times. */
final class MetricsText {
    private MetricsText() {}

    static String of(MetricRegistry metrics) {
        StringBuilder text = new StringBuilder();
        metrics.getCounters().forEach((name, counter) -> line(text, name, counter.getCount()));
        metrics.getGauges().forEach((name, gauge) -> line(text, name, gauge.getValue()));
        metrics.getHistograms().forEach((name, histogram) -> {
            Snapshot last = histogram.getSnapshot();
            line(text, name + ".count", histogram.getCount());
            line(text, name + ".median", Math.round(last.getMedian()));
            line(text, name + ".p99", Math.round(last.get99thPercentile()));
            line(text, name + ".max", last.getMax());
        });
        return text.toString();
    }

    private static void line(StringBuilder text, String name, Object value) {
        text.append("wigeonward_")
                .append(name.replace('.', '_'))
                .append(' ')
                .append(value)
                .append('\n');
    }
}
