package dev.wigeonward.common.clock;

import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class MonotonicClockTest {
    /**
     * Guards against a clock that follows corrections of the wall clock, which would extend leases or expire them
     * early.
     */
    @Test
    void ignoresTheWallClockAfterTheStart() {
        PausedClock wallClock = PausedClock.at(1_000);
        AtomicLong nanos = new AtomicLong(-5);
        MonotonicClock clock = MonotonicClock.start(wallClock, nanos::get);

        wallClock.advanceMillis(3_600_000);
        nanos.addAndGet(2_500_000);

        assertThat(clock.millis()).isEqualTo(1_002);
        assertThat(clock.elapsedNanos()).isEqualTo(2_500_000);
    }
}
