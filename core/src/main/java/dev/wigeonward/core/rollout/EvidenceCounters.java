package dev.wigeonward.core.rollout;

import java.util.Objects;

import com.google.common.base.Preconditions;

/**
 * Counters of the requests of one version and route.
 *
 * @param requests number of requests that ended or ran beyond the time limit
 * @param failures number of requests that were answered with a status of 500 or above, or died
 * @param times normalized times of the requests that did not fail
 */
public record EvidenceCounters(long requests, long failures, TimeHistogram times) {
    private static final EvidenceCounters EMPTY = new EvidenceCounters(0, 0, TimeHistogram.empty());

    public EvidenceCounters {
        Preconditions.checkArgument(failures >= 0, "failures must not be negative, but is %s", failures);
        Preconditions.checkArgument(
                requests >= failures, "requests must be at least failures %s, but is %s", failures, requests);
        Objects.requireNonNull(times, "times");
    }

    /** Returns counters that are all zero. */
    public static EvidenceCounters empty() {
        return EMPTY;
    }

    /** Returns the sums of both counters. */
    EvidenceCounters plus(EvidenceCounters other) {
        return new EvidenceCounters(requests + other.requests, failures + other.failures, times.plus(other.times));
    }

    /** Returns the increase from the other counters to these. */
    EvidenceCounters minus(EvidenceCounters other) {
        return new EvidenceCounters(requests - other.requests, failures - other.failures, times.minus(other.times));
    }
}
