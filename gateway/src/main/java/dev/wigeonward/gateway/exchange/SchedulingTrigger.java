package dev.wigeonward.gateway.exchange;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import dev.wigeonward.gateway.event.Telemetry;
import io.netty.channel.EventLoop;

/** Runs scheduling rounds behind the events of the event loop that are ready, and periodically while requests wait. */
final class SchedulingTrigger {
    /** Interval between rounds while requests are queued; short compared with callers' latency objectives. */
    private static final long PERIOD_MILLIS = 10;

    private final EventLoop loop;
    private final Runnable guardedRound;
    private final Runnable periodicRequest;
    private boolean requested;
    private boolean periodScheduled;

    /**
     * Creates a trigger that has requested no round.
     *
     * @param round runs one round and returns whether requests are still queued
     */
    SchedulingTrigger(EventLoop loop, Telemetry telemetry, BooleanSupplier round) {
        this.loop = loop;
        this.guardedRound = telemetry.guard("decide", () -> run(round));
        this.periodicRequest = telemetry.guard("decide", this::onPeriod);
    }

    /** Requests a round. All requests up to the round are served by it. */
    void request() {
        if (!requested) {
            requested = true;
            loop.execute(guardedRound);
        }
    }

    private void run(BooleanSupplier round) {
        requested = false;
        boolean anyWaits = round.getAsBoolean();
        if (anyWaits && !periodScheduled) {
            periodScheduled = true;
            loop.schedule(periodicRequest, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void onPeriod() {
        periodScheduled = false;
        request();
    }
}
