package dev.wigeonward.gateway.exchange;

import java.util.Optional;

import dev.wigeonward.core.deployment.Route;
import dev.wigeonward.core.deployment.Workspace;
import dev.wigeonward.core.error.ErrorKind;

/** Result of the checks on a request before it is queued. */
sealed interface Admission {
    /**
     * The request may be queued.
     *
     * @param usage usage counted against the workspace's cap
     * @param fingerprint hash of the target, the caller's key and the body, by which a request that crashed an upstream
     *     is recognized when it is sent again
     */
    record Admitted(Route route, String service, Optional<Workspace> workspace, long usage, long fingerprint)
            implements Admission {}

    /** The request is refused and has not run. */
    record Refused(ErrorKind kind, long retryAfterMillis) implements Admission {}
}
