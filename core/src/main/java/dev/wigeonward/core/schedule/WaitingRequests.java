package dev.wigeonward.core.schedule;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * The requests that wait for an upstream of one service. The most urgent kind goes first, unless another kind has been
 * served far less often. Not thread-safe.
 */
final class WaitingRequests {
    /** A kind that is served less often than this part of the best-served kind goes first. */
    private static final double LEAST_SERVED_PART = 0.4;
    /** Share of one outcome in the served ratio of a kind. */
    private static final double OUTCOME_SHARE = 0.03;

    private final Map<String, Kind> kinds = new HashMap<>();

    void add(Demand demand) {
        kind(demand).waiting.addLast(demand);
    }

    boolean remove(Demand demand) {
        Kind kind = kinds.get(demand.kind());
        return kind != null && kind.waiting.remove(demand);
    }

    void onOutcome(Demand demand, boolean served) {
        Kind kind = kind(demand);
        kind.servedRatio += OUTCOME_SHARE * ((served ? 1 : 0) - kind.servedRatio);
    }

    private Kind kind(Demand demand) {
        return kinds.computeIfAbsent(demand.kind(), name -> new Kind(demand.rank()));
    }

    /** Returns the heads of the kinds in the order in which they are tried. */
    List<Demand> heads(long nowMillis) {
        double best = 0;
        for (Kind kind : kinds.values()) {
            best = Math.max(best, kind.servedRatio);
        }
        List<Head> heads = new ArrayList<>(kinds.size());
        for (Kind kind : kinds.values()) {
            Demand head = kind.next(nowMillis);
            if (head != null) {
                heads.add(new Head(head, kind.servedRatio < LEAST_SERVED_PART * best));
            }
        }
        heads.sort((left, right) -> {
            if (left.neglected != right.neglected) {
                return left.neglected ? -1 : 1;
            }
            boolean leftLate = left.demand.late(nowMillis);
            boolean rightLate = right.demand.late(nowMillis);
            if (left.demand.rank() != right.demand.rank() && leftLate == rightLate) {
                return Integer.compare(left.demand.rank(), right.demand.rank());
            }
            if (leftLate != rightLate) {
                return leftLate ? 1 : -1;
            }
            return Long.compare(right.demand.ageMillis(nowMillis), left.demand.ageMillis(nowMillis));
        });
        return heads.stream().map(Head::demand).toList();
    }

    int aheadOf(Demand demand) {
        int count = 0;
        for (Kind kind : kinds.values()) {
            if (kind.rank <= demand.rank()) {
                count += kind.waiting.size();
            }
        }
        return count;
    }

    int size() {
        int count = 0;
        for (Kind kind : kinds.values()) {
            count += kind.waiting.size();
        }
        return count;
    }

    List<Demand> removeWaitingLongerThan(double objectivePart, long nowMillis) {
        List<Demand> removed = new ArrayList<>();
        for (Kind kind : kinds.values()) {
            for (Iterator<Demand> each = kind.waiting.iterator(); each.hasNext(); ) {
                Demand demand = each.next();
                if (demand.ageMillis(nowMillis) >= objectivePart * demand.objectiveMillis()) {
                    each.remove();
                    removed.add(demand);
                }
            }
        }
        return removed;
    }

    private record Head(Demand demand, boolean neglected) {}

    private static final class Kind {
        private final int rank;
        private final ArrayDeque<Demand> waiting = new ArrayDeque<>();
        private double servedRatio = 1.0;

        private Kind(int rank) {
            this.rank = rank;
        }

        /** Returns the first request that can still be on time, or else the first one. */
        private Demand next(long nowMillis) {
            for (Demand demand : waiting) {
                if (!demand.late(nowMillis)) {
                    return demand;
                }
            }
            return waiting.peekFirst();
        }
    }
}
