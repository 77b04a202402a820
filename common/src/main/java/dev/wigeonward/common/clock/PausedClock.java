package dev.wigeonward.common.clock;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;

import com.google.common.base.Preconditions;

/** A clock that stands still until it is advanced; used by tests and stand-ins, safe for several threads. */
public final class PausedClock extends Clock {
    private final AtomicReference<Instant> now;
    private final ZoneId zone;

    private PausedClock(AtomicReference<Instant> now, ZoneId zone) {
        this.now = now;
        this.zone = zone;
    }

    /** Returns a clock that shows the given time in milliseconds since 1970. */
    public static PausedClock at(long epochMillis) {
        return new PausedClock(new AtomicReference<>(Instant.ofEpochMilli(epochMillis)), ZoneOffset.UTC);
    }

    /** Moves this clock, and those made from it by {@link #withZone}, forward. */
    public void advance(Duration step) {
        Preconditions.checkArgument(!step.isNegative(), "step is %s", step);
        now.updateAndGet(instant -> instant.plus(step));
    }

    /** Moves this clock forward by milliseconds. */
    public void advanceMillis(long stepMillis) {
        advance(Duration.ofMillis(stepMillis));
    }

    @Override
    public Instant instant() {
        return now.get();
    }

    @Override
    public ZoneId getZone() {
        return zone;
    }

    @Override
    public Clock withZone(ZoneId newZone) {
        return new PausedClock(now, Objects.requireNonNull(newZone, "zone"));
    }
}
