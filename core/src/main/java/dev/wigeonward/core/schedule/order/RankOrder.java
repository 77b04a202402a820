package dev.wigeonward.core.schedule.order;

import java.util.List;
import java.util.function.ToLongFunction;

import dev.wigeonward.core.schedule.ScheduledRequest;

/** Order of the waiting requests of one rank. Not thread-safe. */
interface RankOrder {
    /** Returns a new queue for requests of one kind of this rank. */
    Queue newQueue();

    /** Returns whether a request may go before one of the same kind whose turn is earlier. */
    boolean mayPass(ScheduledRequest later, ScheduledRequest earlier);

    /**
     * Returns the number of other requests of this rank that count as ahead of the request.
     *
     * @param waitingOfRank number of waiting requests of this rank
     */
    int countAhead(ScheduledRequest request, int waitingOfRank);

    /** Records that a request began to wait. */
    void onWaiting(ScheduledRequest request);

    /** Records that a request left its queue without a decision. */
    void onWithdrawn(ScheduledRequest request);

    /** Records that a request left its queue because it was placed. */
    void onPlaced(ScheduledRequest request, double expectedMillis);

    /** Records that a request left its queue because it was refused. */
    void onRefused(ScheduledRequest request);

    /** Returns whether the workspace of the request has used more than its share. */
    boolean isLimited(ScheduledRequest request);

    /** Records that a placed request has ended. */
    void onEnded(ScheduledRequest request, long nowMillis);

    /** Queue of requests of one kind, ordered by turn. */
    interface Queue {
        void add(ScheduledRequest request);

        boolean remove(ScheduledRequest request);

        int size();

        /** Adds the first requests to a list, up to the given number. */
        void addFirst(int count, List<ScheduledRequest> target);

        /** Adds the first requests to a list whose workspaces have not used more than their shares. */
        void addFirstWithinShares(int count, List<ScheduledRequest> target);

        /** Adds the first requests to a list whose workspaces have used more than their shares. */
        void addFirstBeyondShares(int count, List<ScheduledRequest> target);

        /** Adds the requests to a list that have waited for their maximum wait. */
        void addOverdue(ToLongFunction<ScheduledRequest> maxWaitMillis, long nowMillis, List<ScheduledRequest> target);

        /** Returns a number that orders queues of the same rank; the lowest goes first. */
        double turn();
    }
}
