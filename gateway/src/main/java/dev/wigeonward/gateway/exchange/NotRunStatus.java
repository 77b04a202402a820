package dev.wigeonward.gateway.exchange;

import java.util.Set;

/** Status codes from which callers conclude that a request has not run and never will. */
final class NotRunStatus {
    private static final Set<Integer> CODES = Set.of(408, 421, 429, 503);

    private NotRunStatus() {}

    /** Returns whether callers take the status as a promise that the request did not run. */
    static boolean impliesNotRun(int status) {
        return CODES.contains(status);
    }
}
