package dev.wigeonward.gateway.exchange;

import java.util.Optional;

import dev.wigeonward.core.deployment.Route;
import dev.wigeonward.core.deployment.Tenant;
import dev.wigeonward.core.error.ErrorKind;

/** Outcome of the checks before a request is queued. */
sealed interface Admission {
    /**
     * The request may run.
     *
     * @param usage what it uses of its tenant's cap
     * @param fingerprint hash of what may crash upstreams again: path, caller and body
     */
    record Admitted(Route route, String service, Optional<Tenant> tenant, long usage, long fingerprint)
            implements Admission {}

    /** The request is refused; nothing has run. */
    record Refused(ErrorKind kind, long retryAfterMillis) implements Admission {}
}
