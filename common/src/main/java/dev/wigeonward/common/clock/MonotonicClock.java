package dev.wigeonward.common.clock;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * Clock that reads the wall clock once at its start and then advances with the monotonic timer. A correction of the
 * machine's wall clock can therefore neither extend a lease nor expire it early.
 */
public final class MonotonicClock extends Clock {
    private final Instant start;
    private final long startNanos;
    private final LongSupplier nanoTimer;
    private final ZoneId zone;

    private MonotonicClock(Instant start, long startNanos, LongSupplier nanoTimer, ZoneId zone) {
        this.start = start;
        this.startNanos = startNanos;
        this.nanoTimer = nanoTimer;
        this.zone = zone;
    }

    /** Returns a clock that starts at the current time of the wall clock and advances with the monotonic timer. */
    public static MonotonicClock start() {
        return start(Clock.systemUTC(), System::nanoTime);
    }

    static MonotonicClock start(Clock wallClock, LongSupplier nanoTimer) {
        return new MonotonicClock(wallClock.instant(), nanoTimer.getAsLong(), nanoTimer, ZoneOffset.UTC);
    }

    /** Returns the nanoseconds since the start of this clock, for measuring short durations. */
    public long elapsedNanos() {
        return nanoTimer.getAsLong() - startNanos;
    }

    @Override
    public Instant instant() {
        return start.plusNanos(elapsedNanos());
    }

    @Override
    public ZoneId getZone() {
        return zone;
    }

    @Override
    public Clock withZone(ZoneId newZone) {
        return new MonotonicClock(start, startNanos, nanoTimer, Objects.requireNonNull(newZone, "newZone"));
    }
}
