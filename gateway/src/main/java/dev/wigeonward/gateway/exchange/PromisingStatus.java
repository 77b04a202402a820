package dev.wigeonward.gateway.exchange;

import java.util.Set;

/** Status codes by which callers conclude that a request has not run and never will. */
final class PromisingStatus {
    private static final Set<Integer> CODES = Set.of(408, 421, 429, 503);

    private PromisingStatus() {}

    static boolean promisesNotRun(int status) {
        return CODES.contains(status);
    }
}
