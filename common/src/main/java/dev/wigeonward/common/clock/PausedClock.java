package dev.wigeonward.common.clock;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;

import com.google.common.base.Preconditions;

/** Clock that changes only when it is advanced, for tests and stand-ins. Thread-safe. */
public final class PausedClock extends Clock {
    private final AtomicReference<Instant> now;
    private final ZoneId zone;

    private PausedClock(AtomicReference<Instant> now, ZoneId zone) {
        this.now = now;
        this.zone = zone;
    }

    /** Returns a clock at the given time in milliseconds since the epoch. */
    public static PausedClock at(long epochMillis) {
        return new PausedClock(new AtomicReference<>(Instant.ofEpochMilli(epochMillis)), ZoneOffset.UTC);
    }

    /** Advances this clock and those derived from it by {@link #withZone}. */
    public void advance(Duration step) {
        Preconditions.checkArgument(!step.isNegative(), "step is %s, expected 0 or more", step);
        now.updateAndGet(instant -> instant.plus(step));
    }

    /** Advances this clock by milliseconds, as {@link #advance} does. */
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
        return new PausedClock(now, Objects.requireNonNull(newZone, "newZone"));
    }
}
