package dev.wigeonward.core.schedule;

import java.util.List;
import java.util.function.ToLongFunction;

/** Queue of the waiting requests of one service, which determines the request that goes next. Not thread-safe. */
public interface WaitingOrder {
    /** Adds a request. */
    void add(ScheduledRequest request);

    /** Removes a request and returns whether it was waiting. */
    boolean remove(ScheduledRequest request);

    /** Removes and returns the requests that have waited for their maximum wait. */
    List<ScheduledRequest> removeOverdue(ToLongFunction<ScheduledRequest> maxWaitMillis, long nowMillis);

    /** Returns the number of waiting requests. */
    int size();

    /**
     * Returns the requests to try, in order. A few are enough: they are more than one only so that a request without a
     * suitable free upstream does not block those behind it.
     */
    List<ScheduledRequest> candidates();

    /** Returns the number of other waiting requests that go before the request or share its rank. */
    int countAhead(ScheduledRequest request);

    /**
     * Returns whether the free slots are kept for more urgent requests.
     *
     * @param freeSlotFraction fraction of all slots that is free
     */
    boolean isReservedForOthers(ScheduledRequest request, double freeSlotFraction);

    /** Records that a request was placed. */
    void onPlaced(ScheduledRequest request);

    /** Records that a request was refused. */
    void onRefused(ScheduledRequest request);

    /** Records that a placed request has ended. */
    default void onEnded(ScheduledRequest request, long nowMillis) {}
}
