package dev.wigeonward.gateway.exchange;

import java.util.List;

import dev.wigeonward.core.schedule.Upstream;

/**
 * Run whose connection to the upstream broke.
 *
 * @param fingerprint hash of the whole request
 * @param sharedParts parts of its prompt that other requests may contain
 * @param answering whether the upstream had got beyond the beginning of its answer
 * @param atMillis time at which the connection broke
 */
record BrokenRun(Upstream upstream, long fingerprint, List<Long> sharedParts, boolean answering, long atMillis) {
    BrokenRun {
        sharedParts = List.copyOf(sharedParts);
    }
}
