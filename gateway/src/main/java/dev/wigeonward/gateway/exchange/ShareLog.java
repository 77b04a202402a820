package dev.wigeonward.gateway.exchange;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

import dev.wigeonward.gateway.event.Telemetry;

/** Log and count of the requests that were refused because their workspaces have used more than their shares. */
final class ShareLog {
    /** Time between two log lines of one workspace, which may have many such requests a second. */
    private static final long LOG_PERIOD_MILLIS = 10_000;

    private final Telemetry telemetry;
    private final LongSupplier nowMillis;
    private final Map<String, Long> loggedAtMillis = new HashMap<>();

    ShareLog(Telemetry telemetry, LongSupplier nowMillis) {
        this.telemetry = telemetry;
        this.nowMillis = nowMillis;
    }

    void onLimited(String workspace) {
        telemetry.count("share.limited");
        long now = nowMillis.getAsLong();
        loggedAtMillis.values().removeIf(at -> now - at >= LOG_PERIOD_MILLIS);
        if (loggedAtMillis.putIfAbsent(workspace, now) == null) {
            telemetry.log().info("share_exceeded", "workspace=" + workspace);
        }
    }
}
