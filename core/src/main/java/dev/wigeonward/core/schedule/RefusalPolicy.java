package dev.wigeonward.core.schedule;

/** Policy that decides whether a waiting request is refused. Not thread-safe. */
public interface RefusalPolicy {
    /** Returns the time after its arrival at which the request is refused if it still waits, in milliseconds. */
    long maxWaitMillis(ScheduledRequest request);

    /**
     * Returns whether a request is refused that no upstream can take now, because its expected wait is too long.
     *
     * @param countAhead number of other waiting requests that go before it or share its rank
     */
    boolean isQueueTooLong(ScheduledRequest request, int countAhead, SchedulingRound round);

    /** Records that a request was placed. */
    void onPlaced(ScheduledRequest request, long nowMillis);
}
