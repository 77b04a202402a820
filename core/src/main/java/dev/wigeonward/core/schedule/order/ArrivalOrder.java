package dev.wigeonward.core.schedule.order;

import java.util.Comparator;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.ToLongFunction;

import dev.wigeonward.core.schedule.ScheduledRequest;

/** Order of arrival within each kind. */
final class ArrivalOrder implements RankOrder {
    /** Order of arrival at this entry; a request that is queued for a further run keeps its place. */
    static final Comparator<ScheduledRequest> BY_ARRIVAL = Comparator.comparingLong(ScheduledRequest::arrivedAtMillis)
            .thenComparingLong(ScheduledRequest::queueSequence);

    @Override
    public Queue newQueue() {
        return new ArrivalQueue();
    }

    @Override
    public boolean mayPass(ScheduledRequest later, ScheduledRequest earlier) {
        return true;
    }

    /** Counts all others, as requests behind it also compete for the slots of the next moments. */
    @Override
    public int countAhead(ScheduledRequest request, int waitingOfRank) {
        return waitingOfRank - 1;
    }

    @Override
    public void onWaiting(ScheduledRequest request) {}

    @Override
    public void onWithdrawn(ScheduledRequest request) {}

    @Override
    public void onPlaced(ScheduledRequest request, double expectedMillis) {}

    @Override
    public void onRefused(ScheduledRequest request) {}

    @Override
    public boolean isLimited(ScheduledRequest request) {
        return false;
    }

    @Override
    public void onEnded(ScheduledRequest request, long nowMillis) {}

    /** Requests of one kind have the same maximum wait, so the first one that may wait ends the search. */
    static void addOverdue(
            SortedSet<ScheduledRequest> requests,
            ToLongFunction<ScheduledRequest> maxWaitMillis,
            long nowMillis,
            List<ScheduledRequest> target) {
        for (ScheduledRequest request : requests) {
            if (request.ageMillis(nowMillis) < maxWaitMillis.applyAsLong(request)) {
                return;
            }
            target.add(request);
        }
    }

    private static final class ArrivalQueue implements Queue {
        private final SortedSet<ScheduledRequest> requests = new TreeSet<>(BY_ARRIVAL);

        @Override
        public void add(ScheduledRequest request) {
            requests.add(request);
        }

        @Override
        public boolean remove(ScheduledRequest request) {
            return requests.remove(request);
        }

        @Override
        public int size() {
            return requests.size();
        }

        @Override
        public void addFirst(int count, List<ScheduledRequest> target) {
            int added = 0;
            for (ScheduledRequest request : requests) {
                if (added == count) {
                    return;
                }
                target.add(request);
                added++;
            }
        }

        @Override
        public void addFirstWithinShares(int count, List<ScheduledRequest> target) {
            addFirst(count, target);
        }

        @Override
        public void addFirstBeyondShares(int count, List<ScheduledRequest> target) {}

        @Override
        public void addOverdue(
                ToLongFunction<ScheduledRequest> maxWaitMillis, long nowMillis, List<ScheduledRequest> target) {
            ArrivalOrder.addOverdue(requests, maxWaitMillis, nowMillis, target);
        }

        @Override
        public double turn() {
            return 0;
        }
    }
}
