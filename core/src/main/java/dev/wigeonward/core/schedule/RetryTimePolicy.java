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
}
