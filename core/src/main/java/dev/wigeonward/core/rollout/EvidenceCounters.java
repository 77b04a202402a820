package dev.wigeonward.core.rollout;

import java.util.Objects;

import com.google.common.base.Preconditions;

/**
 * What agents counted for one version and route.
 *
 * @param requests requests that ended
 * @param failures those with a status of 500 or above, or that died
 * @param times normalized times of the others
 */
public record EvidenceCounters(long requests, long failures, TimeHistogram times) {
    private static final EvidenceCounters EMPTY = new EvidenceCounters(0, 0, TimeHistogram.empty());

    public EvidenceCounters {
        Preconditions.checkArgument(failures >= 0, "failures is %s", failures);
        Preconditions.checkArgument(requests >= failures, "%s requests, %s failures", requests, failures);
        Objects.requireNonNull(times, "times");
    }

    /** Returns counters of nothing. */
    public static EvidenceCounters empty() {
        return EMPTY;
    }

    EvidenceCounters plus(EvidenceCounters other) {
        return new EvidenceCounters(requests + other.requests, failures + other.failures, times.plus(other.times));
    }

    EvidenceCounters minus(EvidenceCounters other) {
        return new EvidenceCounters(requests - other.requests, failures - other.failures, times.minus(other.times));
    }
}
