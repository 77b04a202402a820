package dev.wigeonward.core.schedule;

/** Policy that states when a caller that was refused for lack of capacity should come back. */
public interface RetryTimePolicy {
    /**
     * Returns the time after which the caller should come back.
     *
     * @param remainingMillis time until the deadline of the caller
     * @return time in milliseconds, at least 1
     */
    long retryAfterMillis(long remainingMillis);

    /**
     * Returns the time after which a caller should come back if its request can be served only after some time, so that
     * not all callers come back at that moment.
     */
    default long spreadAfter(long earliestMillis) {
        return earliestMillis;
    }

    /**
     * Returns the planned time after which the caller of a refused request should come back, or 0 if this policy does
     * not plan returns.
     *
     * @param waiting number of requests that still wait
     */
    default long planReturnMillis(ScheduledRequest request, int waiting, long nowMillis) {
        return 0;
    }

    /** Records that a request waits. */
    default void onWaiting(ScheduledRequest request) {}

    /** Records that a request was placed. */
    default void onPlaced(ScheduledRequest request, long nowMillis) {}
}
