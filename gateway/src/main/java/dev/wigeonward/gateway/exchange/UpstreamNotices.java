package dev.wigeonward.gateway.exchange;

import java.util.function.LongSupplier;

import dev.wigeonward.core.schedule.ServiceScheduler;
import dev.wigeonward.core.schedule.Upstream;
import dev.wigeonward.gateway.event.Telemetry;
import dev.wigeonward.gateway.port.AnswerHead;

/** Processing of what upstreams state about themselves in the heads of their answers. Runs on the event loop. */
final class UpstreamNotices {
    /** Shortest interval between log lines on malformed headers, which a faulty upstream may send with each answer. */
    private static final long MALFORMED_LOG_PERIOD_MILLIS = 10_000;

    private final LongSupplier nowMillis;
    private final Telemetry telemetry;
    private final UpstreamPaces paces;
    private long malformedLoggedAtMillis = -MALFORMED_LOG_PERIOD_MILLIS;

    UpstreamNotices(LongSupplier nowMillis, Telemetry telemetry, UpstreamPaces paces) {
        this.paces = paces;
        this.nowMillis = nowMillis;
        this.telemetry = telemetry;
    }

    /**
     * Applies the statements in the head of an answer to the upstream.
     *
     * @param requestId identifier of the request that was answered, for the log
     */
    void onAnswer(ServiceScheduler scheduler, Upstream upstream, String requestId, AnswerHead answer) {
        answer.malformed().ifPresent(text -> onMalformed(upstream, requestId, text));
        paces.onColdAnswer(upstream, answer.cold());
        if (answer.leaving() && scheduler.markLeaving(upstream)) {
            telemetry.count("upstream.leaving");
            telemetry.log().info("upstream_leaving", "id=" + upstream.id() + " request=" + requestId);
        }
        answer.retryAfterMillis().ifPresent(millis -> {
            long untilMillis = nowMillis.getAsLong() + millis;
            if (scheduler.askForTime(upstream, untilMillis)) {
                telemetry.count("upstream.asked_for_time");
                telemetry
                        .log()
                        .info(
                                "upstream_asked_for_time",
                                "id=" + upstream.id() + " request=" + requestId + " retry_after_ms=" + millis);
            }
        });
    }

    private void onMalformed(Upstream upstream, String requestId, String text) {
        telemetry.count("upstream.malformed_header");
        long now = nowMillis.getAsLong();
        if (now - malformedLoggedAtMillis < MALFORMED_LOG_PERIOD_MILLIS) {
            return;
        }
        malformedLoggedAtMillis = now;
        telemetry
                .log()
                .warning(
                        "header_passed_over",
                        "upstream=" + upstream.id() + " request=" + requestId + " header=" + text.replace(' ', '_'));
    }
}
