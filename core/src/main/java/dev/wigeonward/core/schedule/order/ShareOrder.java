package dev.wigeonward.core.schedule.order;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

import dev.wigeonward.core.schedule.ScheduledRequest;
import dev.wigeonward.core.share.FairShares;
import dev.wigeonward.core.share.ServedRatios;
import dev.wigeonward.core.share.SizeBands;

/**
 * Order by fair shares of the workspaces: the one that has used the least engine time for its weight goes next, and
 * within a workspace the request that arrived first. Workspaces and large requests that are served much less often than
 * others go first.
 */
final class ShareOrder implements RankOrder {
    /**
     * A workspace goes first if it is served less often than this fraction of all requests. The guaranteed fraction is
     * a quarter; the average is over few requests and lags behind.
     */
    private static final double MIN_WORKSPACE_FRACTION = 0.3;
    /** A band of large requests goes before other workspaces below this fraction; the guaranteed fraction is a half. */
    private static final double MIN_BAND_FRACTION_OVER_SHARES = 0.6;
    /** Engine time in excess of its share from which a workspace counts as limited; that of a few running requests. */
    private static final double LIMITED_MILLIS = 5_000;
    /** Engine time that a workspace may be owed while one of another goes first because its prompt is kept. */
    private static final double MAX_OWED_MILLIS = 1_000;

    private final FairShares shares;
    private final ServedRatios<String> workspaceRatios = ServedRatios.create();
    private final Map<String, KindSizes> sizes = new HashMap<>();
    private final Map<ScheduledRequest, SizeBands.Band> bands = new IdentityHashMap<>();
    private final Map<ScheduledRequest, FairShares.Charge> charges = new IdentityHashMap<>();
    private final Map<String, Backlog> backlogs = new HashMap<>();
    private final Consumer<String> onLimited;
    /** Turns in the queues of all ranks, as what a workspace uses in one rank counts in all. */
    private final List<Turns> allTurns;

    /**
     * Creates an order.
     *
     * @param shares accounting of the service, which the orders of all ranks use
     * @param allTurns turns in the queues of all ranks, to which this order adds its own
     * @param onLimited receives the workspace of each refused request whose workspace has used more than its share
     */
    ShareOrder(FairShares shares, List<Turns> allTurns, Consumer<String> onLimited) {
        this.shares = shares;
        this.allTurns = allTurns;
        this.onLimited = onLimited;
    }

    @Override
    public Queue newQueue() {
        ShareQueue queue = new ShareQueue();
        allTurns.add(queue.turns);
        return queue;
    }

    @Override
    public boolean mayPass(ScheduledRequest later, ScheduledRequest earlier) {
        if (isUnderserved(earlier)) {
            return false;
        }
        double owedMillis =
                (shares.tagMillis(later.workspace()) - shares.tagMillis(earlier.workspace())) * earlier.weight();
        return owedMillis <= MAX_OWED_MILLIS;
    }

    private boolean isUnderserved(ScheduledRequest request) {
        SizeBands.Band band = bands.get(request);
        return isWorkspaceUnderserved(request.workspace())
                || SizeBands.GUARDED.contains(band) && sizes(request).isBelow(band, MIN_BAND_FRACTION_OVER_SHARES);
    }

    private boolean isWorkspaceUnderserved(String workspace) {
        return workspaceRatios.isBelow(workspace, MIN_WORKSPACE_FRACTION);
    }

    private double turn(String workspace) {
        return isWorkspaceUnderserved(workspace) ? Double.NEGATIVE_INFINITY : shares.tagMillis(workspace);
    }

    private KindSizes sizes(ScheduledRequest request) {
        return sizes.computeIfAbsent(request.kind(), kind -> new KindSizes());
    }

    /** Counts requests of other workspaces only as far as their shares let them start before the own ones. */
    @Override
    public int countAhead(ScheduledRequest request, int waitingOfRank) {
        Backlog own = backlogs.get(request.workspace());
        double ahead = own.waiting - 1;
        for (Backlog other : backlogs.values()) {
            ahead += other == own ? 0 : Math.min(other.waiting, own.waiting * other.weight / own.weight);
        }
        return (int) ahead;
    }

    @Override
    public void onWaiting(ScheduledRequest request) {
        shares.onWaiting(request.workspace(), request.weight());
        Backlog backlog = backlogs.computeIfAbsent(request.workspace(), name -> new Backlog());
        backlog.waiting++;
        backlog.weight = request.weight();
    }

    private void onTaken(ScheduledRequest request) {
        Backlog backlog = backlogs.get(request.workspace());
        backlog.waiting--;
        if (backlog.waiting == 0) {
            backlogs.remove(request.workspace());
        }
    }

    @Override
    public void onWithdrawn(ScheduledRequest request) {
        shares.onWithdrawn(request.workspace());
        onTaken(request);
        bands.remove(request);
    }

    @Override
    public void onPlaced(ScheduledRequest request, double expectedMillis) {
        charges.put(request, shares.onStarted(request.workspace(), expectedMillis));
        onTaken(request);
        onOutcome(request, true);
    }

    @Override
    public void onRefused(ScheduledRequest request) {
        shares.onWithdrawn(request.workspace());
        onTaken(request);
        onOutcome(request, false);
        if (isLimited(request)) {
            onLimited.accept(request.workspace());
        }
    }

    @Override
    public boolean isLimited(ScheduledRequest request) {
        return isLimited(request.workspace());
    }

    private boolean isLimited(String workspace) {
        return shares.excessMillis(workspace) > LIMITED_MILLIS;
    }

    private void onOutcome(ScheduledRequest request, boolean served) {
        workspaceRatios.onOutcome(request.workspace(), served);
        sizes(request).onOutcome(bands.remove(request), served);
        updateTurns(request.workspace());
    }

    @Override
    public void onEnded(ScheduledRequest request, long nowMillis) {
        FairShares.Charge charge = charges.remove(request);
        if (charge != null) {
            shares.onEnded(charge, nowMillis - request.placedAtMillis());
            updateTurns(request.workspace());
        }
    }

    private void updateTurns(String workspace) {
        allTurns.forEach(turns -> turns.update(workspace));
    }

    /** Waiting requests of one workspace. */
    private static final class Backlog {
        private int waiting;
        private double weight;
    }

    private final class ShareQueue implements Queue {
        private final Turns turns = new Turns(ShareOrder.this::turn);
        /** Requests of all workspaces. */
        private final Flow all = new Flow("");

        @Override
        public void add(ScheduledRequest request) {
            SizeBands.Band band = sizes(request).add(request);
            bands.put(request, band);
            all.add(request, band);
            Flow flow = turns.get(request.workspace());
            if (flow == null) {
                flow = new Flow(request.workspace());
                turns.add(flow);
            }
            flow.add(request, band);
        }

        @Override
        public boolean remove(ScheduledRequest request) {
            if (!all.remove(request)) {
                return false;
            }
            Flow flow = turns.get(request.workspace());
            flow.remove(request);
            if (flow.requests().isEmpty()) {
                turns.remove(request.workspace());
            }
            return true;
        }

        @Override
        public int size() {
            return all.requests().size();
        }

        @Override
        public void addFirst(int count, List<ScheduledRequest> target) {
            addFirst(count, target, flow -> true);
        }

        @Override
        public void addFirstWithinShares(int count, List<ScheduledRequest> target) {
            addFirst(count, target, flow -> !isLimited(flow.workspace()));
        }

        @Override
        public void addFirstBeyondShares(int count, List<ScheduledRequest> target) {
            addFirst(count, target, flow -> isLimited(flow.workspace()));
        }

        private void addFirst(int count, List<ScheduledRequest> target, Predicate<Flow> condition) {
            List<Flow> firstFlows = turns.first(count, condition);
            if (firstFlows.isEmpty()) {
                return;
            }
            KindSizes sizes = sizes(all.requests().first());
            Set<ScheduledRequest> first = new LinkedHashSet<>();
            all.firstOfBandBelow(MIN_BAND_FRACTION_OVER_SHARES, sizes)
                    .filter(request -> condition.test(turns.get(request.workspace())))
                    .ifPresent(first::add);
            List<List<ScheduledRequest>> byWorkspace =
                    firstFlows.stream().map(flow -> flow.first(count, sizes)).toList();
            // One request of each workspace, then another one of each, so that one workspace cannot block the others.
            for (int round = 0; round < count && first.size() < count; round++) {
                for (List<ScheduledRequest> requests : byWorkspace) {
                    if (first.size() < count && round < requests.size()) {
                        first.add(requests.get(round));
                    }
                }
            }
            target.addAll(first);
        }

        @Override
        public void addOverdue(
                ToLongFunction<ScheduledRequest> maxWaitMillis, long nowMillis, List<ScheduledRequest> target) {
            ArrivalOrder.addOverdue(all.requests(), maxWaitMillis, nowMillis, target);
        }

        @Override
        public double turn() {
            return turns.lowest();
        }
    }
}
