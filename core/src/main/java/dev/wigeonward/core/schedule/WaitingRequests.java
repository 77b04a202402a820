package dev.wigeonward.core.schedule;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * The requests that wait for an upstream of one service. The most urgent kind goes first, unless another kind has been
 * served far less often. Not thread-safe.
 */
final class WaitingRequests {
    /** A kind that is served less often than this part of the best-served kind goes first. */
    private static final double LEAST_SERVED_PART = 0.4;
    /** Share of one request in the share of its kind; the memory spans about a hundred requests. */
    private static final double SHARE_MEMORY = 0.01;
    /** Requests of one kind that are compared: one that suits no free upstream does not hold up the next ones. */
    private static final int CANDIDATES_OF_KIND = 4;
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
        kinds.values().forEach(each -> each.share *= 1 - SHARE_MEMORY);
        kind.share += SHARE_MEMORY;
        kind.servedRatio += OUTCOME_SHARE * ((served ? 1 : 0) - kind.servedRatio);
    }

    private Kind kind(Demand demand) {
        return kinds.computeIfAbsent(demand.kind(), name -> new Kind(demand.rank()));
    }

    /** Returns requests in the order in which they are tried: the kinds in turn, each with its first few requests. */
    List<Demand> candidates(long nowMillis) {
        double best = 0;
        for (Kind kind : kinds.values()) {
            best = Math.max(best, kind.servedRatio);
        }
        List<Kind> ordered = new ArrayList<>();
        for (Kind kind : kinds.values()) {
            if (!kind.waiting.isEmpty()) {
                kind.neglected = kind.servedRatio < LEAST_SERVED_PART * best;
                ordered.add(kind);
            }
        }
        ordered.sort(Comparator.comparing((Kind kind) -> !kind.neglected).thenComparingInt(kind -> kind.rank));
        List<Demand> candidates = new ArrayList<>();
        ordered.forEach(kind -> kind.addCandidates(candidates, false, nowMillis));
        ordered.forEach(kind -> kind.addCandidates(candidates, true, nowMillis));
        return candidates;
    }

    /** Returns which part of the recent requests goes before the given one, from 0 to 1. */
    double shareBefore(Demand demand) {
        double share = 0;
        for (Kind kind : kinds.values()) {
            share += kind.rank < demand.rank() ? kind.share : 0;
        }
        return kind(demand).neglected ? 0 : share;
    }

    /** Returns how many others wait that go before a waiting request or arrived with its rank. */
    int othersOfRank(Demand demand) {
        Kind own = kind(demand);
        if (own.neglected) {
            return own.waiting.size() - 1;
        }
        int count = -1;
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

    List<Demand> removeOverdue(ToLongFunction<Demand> longestWaitMillis, long nowMillis) {
        List<Demand> removed = new ArrayList<>();
        for (Kind kind : kinds.values()) {
            for (Iterator<Demand> each = kind.waiting.iterator(); each.hasNext(); ) {
                Demand demand = each.next();
                if (demand.ageMillis(nowMillis) >= longestWaitMillis.applyAsLong(demand)) {
                    each.remove();
                    removed.add(demand);
                }
            }
        }
        return removed;
    }

    private static final class Kind {
        private final int rank;
        private final ArrayDeque<Demand> waiting = new ArrayDeque<>();
        private double servedRatio = 1.0;
        private double share;
        private boolean neglected;

        private Kind(int rank) {
            this.rank = rank;
        }

        private void addCandidates(List<Demand> candidates, boolean late, long nowMillis) {
            int added = 0;
            for (Demand demand : waiting) {
                if (demand.late(nowMillis) == late && added < CANDIDATES_OF_KIND) {
                    candidates.add(demand);
                    added++;
                }
            }
        }
    }
}
