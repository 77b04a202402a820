package dev.wigeonward.gateway.event;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TelemetryTest {
    /** Guards against a periodic task that an event loop never runs again after one unexpected exception. */
    @Test
    void guardedTaskRunsAgainAfterAnException() throws InterruptedException {
        Telemetry telemetry = new Telemetry(new MetricRegistry(), EventLog.create());
        CountDownLatch runs = new CountDownLatch(3);
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        Runnable failing = () -> {
            runs.countDown();
            throw new IllegalStateException("fails each time");
        };
        group.next().scheduleAtFixedRate(telemetry.guard("test", failing), 0, 1, TimeUnit.MILLISECONDS);

        assertThat(runs.await(5, TimeUnit.SECONDS)).isTrue();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        assertThat(telemetry.metrics().counter("unexpected_errors").getCount()).isGreaterThanOrEqualTo(2);
    }
}
