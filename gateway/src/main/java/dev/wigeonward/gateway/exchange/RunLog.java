package dev.wigeonward.gateway.exchange;

import java.util.Optional;
import java.util.stream.Collectors;

import dev.wigeonward.core.schedule.Upstream;
import dev.wigeonward.gateway.event.Telemetry;
import dev.wigeonward.gateway.upstream.ConnectionUse;
import dev.wigeonward.gateway.upstream.UpstreamConnection;

/** Log lines on one run of a request. */
final class RunLog {
    private static final int MAX_LOGGED_PARTS = 8;
    private static final int MAX_LOGGED_ID_CHARACTERS = 60;

    private final Telemetry telemetry;
    private final CallerRequest request;
    private final Upstream upstream;
    private boolean foreignAnswerLogged;

    RunLog(Telemetry telemetry, CallerRequest request, Upstream upstream) {
        this.telemetry = telemetry;
        this.request = request;
        this.upstream = upstream;
    }

    /** Logs the first answer of a run that belongs to another request. */
    void foreignAnswer(String answerId, ConnectionUse use) {
        if (foreignAnswerLogged) {
            return;
        }
        foreignAnswerLogged = true;
        telemetry
                .log()
                .warning(
                        "foreign_answer",
                        "id=" + request.callerHead().attemptId().orElse("none") + " answer_id="
                                + answerId.substring(0, Math.min(MAX_LOGGED_ID_CHARACTERS, answerId.length()))
                                        .replace(' ', '_')
                                + " upstream=" + upstream.lifetimeId() + " "
                                + use.describe());
    }

    /** Logs that the caller reads more slowly than the upstream answers. */
    void slowCaller(long pausedMillis, long events) {
        telemetry
                .log()
                .info(
                        "caller_slowed",
                        "id=" + request.callerHead().attemptId().orElse("none") + " upstream=" + upstream.lifetimeId()
                                + " paused_ms=" + pausedMillis + " events=" + events);
    }

    /** Logs that the connection to the upstream broke. */
    void broken(Optional<UpstreamConnection> connection, long events, String reason) {
        String parts = request.callerHead().sharedParts().stream()
                .limit(MAX_LOGGED_PARTS)
                .map(Long::toHexString)
                .collect(Collectors.joining(","));
        telemetry
                .log()
                .warning(
                        "run_broken",
                        "id=" + request.callerHead().attemptId().orElse("none") + " upstream="
                                + upstream.lifetimeId() + " version=" + upstream.version() + " events=" + events
                                + connection
                                        .map(open -> " " + open.use().describe())
                                        .orElse("")
                                + " shared_parts=" + (parts.isEmpty() ? "none" : parts) + " reason="
                                + reason.replace(' ', '_'));
    }
}
