package dev.wigeonward.gateway.event;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EventLoopDelayTest {
    private final AtomicLong clockMillis = new AtomicLong(5_000);
    private final Telemetry telemetry = new Telemetry(new MetricRegistry(), EventLog.create());
    private final EmbeddedChannel channel = new EmbeddedChannel();

    /** Advances the timers of the loop by one period, and the clock by the period and the delay. */
    private void runPeriod(long delayMillis) {
        clockMillis.addAndGet(100 + delayMillis);
        channel.advanceTimeBy(100, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    /** Guards against a stalled event loop that no metric shows, and against a delay that is counted in each period. */
    @Test
    void delayOfEachPeriodIsRecordedOnce() {
        channel.freezeTime();
        EventLoopDelay.start(channel.eventLoop(), telemetry, clockMillis::get);
        runPeriod(0);
        runPeriod(300);
        runPeriod(0);

        assertThat(telemetry
                        .metrics()
                        .histogram("loop.delay_millis")
                        .getSnapshot()
                        .getValues())
                .containsExactly(0, 0, 300);
    }
}
