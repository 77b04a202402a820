package dev.wigeonward.gateway.exchange;

/**
 * Planned stop of this process. Requests are sent to upstreams until admission stops, if their answers can be expected
 * before the end. Runs on the event loop.
 */
public final class ProcessStop {
    /** Retry time stated while this process stops; short, because a retry reaches another entry. */
    static final long RETRY_MILLIS = 20;
    /** Factor by which the time left must exceed an expected duration; estimates are often off by that much. */
    private static final double EXPECTED_TIME_FACTOR = 2;

    private boolean admissionStopped;
    private long endsAtMillis = Long.MAX_VALUE;

    ProcessStop() {}

    /** Announces the time at which all requests end. */
    public void endAt(long millis) {
        endsAtMillis = millis;
    }

    /** Refuses all further requests; admitted requests continue. */
    public void stopAdmission() {
        admissionStopped = true;
    }

    boolean admissionStopped() {
        return admissionStopped;
    }

    /** Returns whether an answer that is expected to take the given time can be complete before the end. */
    boolean leavesTimeFor(double expectedMillis, long nowMillis) {
        return EXPECTED_TIME_FACTOR * expectedMillis <= endsAtMillis - nowMillis;
    }
}
