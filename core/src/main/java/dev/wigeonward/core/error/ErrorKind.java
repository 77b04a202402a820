package dev.wigeonward.core.error;

import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The complete set of error kinds, each with what callers are sent for it: the HTTP status, whether a resend may
 * succeed, and what is known about the run.
 */
public enum ErrorKind {
    MALFORMED_REQUEST(400, false, RunState.NOT_RUN),
    UNAUTHORIZED(401, false, RunState.NOT_RUN),
    UNKNOWN_TARGET(404, false, RunState.NOT_RUN),
    METHOD_NOT_ALLOWED(405, false, RunState.NOT_RUN),
    BODY_TOO_LARGE(413, false, RunState.NOT_RUN),
    /** The request body did not arrive in time. */
    BODY_TIMEOUT(408, true, RunState.NOT_RUN),
    HEADERS_TOO_LARGE(431, false, RunState.NOT_RUN),
    IDEMPOTENCY_KEY_REQUIRED(400, false, RunState.NOT_RUN),
    /** The idempotency key was used before with a different body. */
    IDEMPOTENCY_KEY_REUSED(422, false, RunState.NOT_RUN),
    /** The first copy of the request is still running. */
    IN_PROGRESS(409, true, RunState.UNKNOWN),
    RATE_LIMITED(429, true, RunState.NOT_RUN),
    OVERLOADED(503, true, RunState.NOT_RUN),
    /** Removed from a full queue for a request of a higher tier, or of a workspace with more of its share left. */
    DISPLACED(503, true, RunState.NOT_RUN),
    DEADLINE_UNREACHABLE(503, true, RunState.NOT_RUN),
    DEADLINE_EXCEEDED_IN_QUEUE(504, true, RunState.NOT_RUN),
    DEADLINE_EXCEEDED_RUNNING(504, false, RunState.UNKNOWN),
    NO_UPSTREAM(503, true, RunState.NOT_RUN),
    /** The durable claim of a non-idempotent request could not be created; an earlier copy may hold one. */
    CLAIM_UNAVAILABLE(503, true, RunState.UNKNOWN),
    /** The non-idempotent request was refused before its claim was read; an earlier copy may have run. */
    CLAIM_UNREAD(503, true, RunState.UNKNOWN),
    /** Several upstreams died while they ran the request. */
    SUSPECT(422, false, RunState.NOT_RUN),
    SHUTTING_DOWN(503, true, RunState.NOT_RUN),
    NOT_READY(503, true, RunState.NOT_RUN),
    UPSTREAM_DIED(502, false, RunState.UNKNOWN),
    /** The agent or the link to it was lost after dispatch. */
    UPSTREAM_LOST(502, false, RunState.UNKNOWN),
    OUTPUT_INCOMPLETE(502, false, RunState.UNKNOWN),
    /** A claim exists and its outcome is not recorded. */
    OUTCOME_UNKNOWN(409, false, RunState.UNKNOWN),
    SLOW_READER(408, false, RunState.UNKNOWN),
    INTERNAL(500, false, RunState.UNKNOWN);

    private static final Map<String, ErrorKind> BY_WIRE_NAME =
            Arrays.stream(values()).collect(Collectors.toUnmodifiableMap(ErrorKind::wireName, Function.identity()));

    private final int httpStatus;
    private final boolean retryable;
    private final RunState runState;

    ErrorKind(int httpStatus, boolean retryable, RunState runState) {
        this.httpStatus = httpStatus;
        this.retryable = retryable;
        this.runState = runState;
    }

    /** Returns the kind with the given wire name, or empty if there is none. */
    public static Optional<ErrorKind> fromWireName(String wireName) {
        return Optional.ofNullable(BY_WIRE_NAME.get(wireName));
    }

    /** Returns the HTTP status of the answer to the caller. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns whether the same request may succeed if the caller sends it again later. */
    public boolean retryable() {
        return retryable;
    }

    /** Returns what is known about the run. */
    public RunState runState() {
        return runState;
    }

    /** Returns the name used in error bodies and on links, for example {@code no_upstream}. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
