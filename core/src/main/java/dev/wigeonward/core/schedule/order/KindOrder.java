package dev.wigeonward.core.schedule.order;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;

import dev.wigeonward.core.schedule.ScheduledRequest;
import dev.wigeonward.core.schedule.WaitingOrder;
import dev.wigeonward.core.share.FairShares;

/**
 * Order by kind. The kind of the lowest rank goes first, unless another kind has a much lower served ratio. Not
 * thread-safe.
 */
public final class KindOrder implements WaitingOrder {
    /**
     * Fraction of all slots that is kept free for more urgent requests, scaled by their share of the traffic. A free
     * slot spares an urgent request the wait, because entries cannot order their queues relative to those of other
     * entries.
     */
    private static final double RESERVED_SLOT_FRACTION = 0.15;
    /** A kind goes first if its served ratio is below this fraction of the highest served ratio of any kind. */
    private static final double MIN_SERVED_RATIO_FRACTION = 0.4;
    /** Weight of one request in the request share of its kind; the average spans about 100 requests. */
    private static final double REQUEST_SMOOTHING_FACTOR = 0.01;
    /** Requests tried per kind, so that a request without a suitable free upstream does not block those behind it. */
    private static final int CANDIDATES_PER_KIND = 4;
    /** Weight of one outcome in the served ratio of a kind. */
    private static final double OUTCOME_SMOOTHING_FACTOR = 0.03;

    private static final Comparator<KindQueue> BY_URGENCY =
            Comparator.comparingInt((KindQueue kind) -> kind.rank).thenComparingDouble(kind -> kind.turn);

    private final Supplier<RankOrder> newRankOrder;
    private final boolean sharesSlots;
    private final Map<Integer, RankOrder> ranks = new HashMap<>();
    private final Map<String, KindQueue> kinds = new HashMap<>();
    private int size;

    private KindOrder(Supplier<RankOrder> newRankOrder, boolean sharesSlots) {
        this.sharesSlots = sharesSlots;
        this.newRankOrder = newRankOrder;
    }

    /** Returns an order without requests, in which requests of one kind go in order of arrival. */
    public static KindOrder create() {
        return new KindOrder(ArrivalOrder::new, false);
    }

    /**
     * Returns an order without requests, in which requests of one rank go by the fair shares of their workspaces.
     *
     * @param onLimited receives the workspace of each request that was refused because its workspace uses its share
     */
    public static KindOrder withShares(Consumer<String> onLimited) {
        FairShares shares = FairShares.create();
        List<Turns> allTurns = new ArrayList<>();
        return new KindOrder(() -> new ShareOrder(shares, allTurns, onLimited), true);
    }

    @Override
    public void add(ScheduledRequest request) {
        KindQueue kind = kind(request);
        (request.isPastObjective(request.arrivedAtMillis()) ? kind.late : kind.inTime).add(request);
        kind.rankOrder.onWaiting(request);
        size++;
    }

    @Override
    public boolean remove(ScheduledRequest request) {
        boolean removed = take(request);
        if (removed) {
            kind(request).rankOrder.onWithdrawn(request);
        }
        return removed;
    }

    private boolean take(ScheduledRequest request) {
        KindQueue kind = kinds.get(request.kind());
        boolean taken = kind != null && (kind.inTime.remove(request) || kind.late.remove(request));
        size -= taken ? 1 : 0;
        return taken;
    }

    @Override
    public void onPlaced(ScheduledRequest request, double expectedMillis) {
        take(request);
        kind(request).rankOrder.onPlaced(request, expectedMillis);
        onOutcome(request, true);
    }

    @Override
    public void onRefused(ScheduledRequest request) {
        take(request);
        kind(request).rankOrder.onRefused(request);
        onOutcome(request, false);
    }

    @Override
    public void onEnded(ScheduledRequest request, long nowMillis) {
        kind(request).rankOrder.onEnded(request, nowMillis);
    }

    /** Updates the request shares and the served ratio of the kind of a request that was placed or refused. */
    private void onOutcome(ScheduledRequest request, boolean served) {
        KindQueue kind = kind(request);
        kinds.values().forEach(each -> each.requestShare *= 1 - REQUEST_SMOOTHING_FACTOR);
        kind.requestShare += REQUEST_SMOOTHING_FACTOR;
        kind.servedRatio += OUTCOME_SMOOTHING_FACTOR * ((served ? 1 : 0) - kind.servedRatio);
    }

    private KindQueue kind(ScheduledRequest request) {
        KindQueue kind = kinds.get(request.kind());
        if (kind == null) {
            RankOrder rankOrder = ranks.computeIfAbsent(request.rank(), rank -> newRankOrder.get());
            kind = new KindQueue(request.rank(), rankOrder);
            kinds.put(request.kind(), kind);
        }
        return kind;
    }

    /**
     * Returns the requests to try, in order: the first few of each kind, ordered by kind, and after them in the same
     * way those that were past their objective when they came.
     */
    @Override
    public List<ScheduledRequest> candidates() {
        double highestServedRatio = 0;
        for (KindQueue kind : kinds.values()) {
            highestServedRatio = Math.max(highestServedRatio, kind.servedRatio);
        }
        List<KindQueue> ordered = new ArrayList<>();
        for (KindQueue kind : kinds.values()) {
            if (kind.size() > 0) {
                kind.underserved = kind.servedRatio < MIN_SERVED_RATIO_FRACTION * highestServedRatio;
                kind.turn = kind.inTime.turn();
                ordered.add(kind);
            }
        }
        ordered.sort(BY_URGENCY);
        List<ScheduledRequest> candidates = new ArrayList<>();
        addFirst(ordered, kind -> kind.inTime, candidates);
        addFirst(ordered, kind -> kind.late, candidates);
        return candidates;
    }

    /**
     * Adds the first requests of each kind, those of underserved kinds first. Of these, requests of workspaces that
     * have used more than their shares do not go before more urgent ones.
     */
    private static void addFirst(
            List<KindQueue> ordered, Function<KindQueue, RankOrder.Queue> queue, List<ScheduledRequest> target) {
        for (KindQueue kind : ordered) {
            if (kind.underserved) {
                queue.apply(kind).addFirstWithinShares(CANDIDATES_PER_KIND, target);
            }
        }
        for (KindQueue kind : ordered) {
            if (kind.underserved) {
                queue.apply(kind).addFirstBeyondShares(CANDIDATES_PER_KIND, target);
            } else {
                queue.apply(kind).addFirst(CANDIDATES_PER_KIND, target);
            }
        }
    }

    @Override
    public boolean mayPass(ScheduledRequest later, ScheduledRequest earlier) {
        return later.kind().equals(earlier.kind()) && kind(earlier).rankOrder.mayPass(later, earlier);
    }

    @Override
    public boolean isReservedForOthers(ScheduledRequest request, double freeSlotFraction) {
        if (sharesSlots && underservedBehind(request)) {
            return false;
        }
        return freeSlotFraction <= RESERVED_SLOT_FRACTION * requestShareOfMoreUrgentKinds(request);
    }

    /**
     * Returns whether a less urgent kind goes first. Slots that are kept free for kinds of the first ranks would then
     * go to it, so they are not kept from the kinds between them.
     */
    private boolean underservedBehind(ScheduledRequest request) {
        return kinds.values().stream()
                .anyMatch(kind -> kind.underserved && kind.rank > request.rank() && kind.size() > 0);
    }

    /** Returns whether the request goes before more urgent ones because its kind is underserved. */
    private boolean isPreferred(ScheduledRequest request) {
        KindQueue kind = kind(request);
        return kind.underserved && !kind.rankOrder.isLimited(request);
    }

    /** Returns the fraction of recent requests of more urgent kinds, from 0 to 1; 0 if the kind is underserved. */
    private double requestShareOfMoreUrgentKinds(ScheduledRequest request) {
        double sum = 0;
        for (KindQueue kind : kinds.values()) {
            sum += kind.rank < request.rank() ? kind.requestShare : 0;
        }
        return isPreferred(request) ? 0 : sum;
    }

    /**
     * Returns the number of other waiting requests of more urgent ranks, and of those of its own rank that count as
     * ahead; for an underserved kind, only those of the same kind.
     */
    @Override
    public int countAhead(ScheduledRequest request) {
        KindQueue own = kind(request);
        if (isPreferred(request)) {
            return own.size() - 1;
        }
        int moreUrgent = 0;
        int sameRank = 0;
        for (KindQueue kind : kinds.values()) {
            moreUrgent += kind.rank < request.rank() ? kind.size() : 0;
            sameRank += kind.rank == request.rank() ? kind.size() : 0;
        }
        return moreUrgent + own.rankOrder.countAhead(request, sameRank);
    }

    @Override
    public int size() {
        return size;
    }

    @Override
    public List<ScheduledRequest> overdue(ToLongFunction<ScheduledRequest> maxWaitMillis, long nowMillis) {
        List<ScheduledRequest> overdue = new ArrayList<>();
        for (KindQueue kind : kinds.values()) {
            kind.inTime.addOverdue(maxWaitMillis, nowMillis, overdue);
            kind.late.addOverdue(maxWaitMillis, nowMillis, overdue);
        }
        return overdue;
    }

    /** Queue of the requests of one kind, with its recent statistics. */
    private static final class KindQueue {
        private final int rank;
        private final RankOrder rankOrder;
        private final RankOrder.Queue inTime;
        /** Requests that were past their objective when they came, in an earlier attempt of the caller. */
        private final RankOrder.Queue late;

        private double servedRatio = 1.0;
        private double requestShare;
        private boolean underserved;
        /** Turn among the kinds of the same rank, as of the last call of {@link #candidates}. */
        private double turn;

        private KindQueue(int rank, RankOrder rankOrder) {
            this.rank = rank;
            this.rankOrder = rankOrder;
            this.inTime = rankOrder.newQueue();
            this.late = rankOrder.newQueue();
        }

        private int size() {
            return inTime.size() + late.size();
        }
    }
}
