package dev.wigeonward.gateway.exchange;

import java.util.function.LongSupplier;

import dev.wigeonward.core.schedule.retry.PlannedReturns;
import dev.wigeonward.gateway.event.Telemetry;

/** Log and count of the times that this entry told refused callers, and of the returned callers that it placed. */
final class ReturnsLog implements PlannedReturns.Listener {
    /** Time between two log lines; a peak has many refusals a second. */
    private static final long LOG_PERIOD_MILLIS = 10_000;

    private final Telemetry telemetry;
    private final LongSupplier nowMillis;
    private long promised;
    private long honored;
    private long loggedAtMillis;

    ReturnsLog(Telemetry telemetry, LongSupplier nowMillis) {
        this.telemetry = telemetry;
        this.nowMillis = nowMillis;
        this.loggedAtMillis = nowMillis.getAsLong() - LOG_PERIOD_MILLIS;
    }

    @Override
    public void onPromised() {
        telemetry.count("returns.promised");
        promised++;
        logIfDue();
    }

    @Override
    public void onHonored() {
        telemetry.count("returns.honored");
        honored++;
        logIfDue();
    }

    private void logIfDue() {
        long now = nowMillis.getAsLong();
        if (now - loggedAtMillis < LOG_PERIOD_MILLIS) {
            return;
        }
        telemetry.log().info("returns_planned", "promised=" + promised + " honored=" + honored);
        loggedAtMillis = now;
        promised = 0;
        honored = 0;
    }
}
