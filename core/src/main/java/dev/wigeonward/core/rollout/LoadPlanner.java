package dev.wigeonward.core.rollout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import dev.wigeonward.core.order.Order;

/**
 * Planner of loads and unloads within the limits of the weight store's rate and the engines' memory. Moves are planned
 * in order of their deadlines.
 */
final class LoadPlanner {
    /**
     * One in this many of a model's engines keeps the old version until the move is done, if some have room for one
     * version only.
     */
    private static final int KEPT_OLD_DIVISOR = 10;

    private final RolloutSettings settings;

    LoadPlanner(RolloutSettings settings) {
        this.settings = settings;
    }

    /** Returns the new orders of each model, with placeholders for their ids. */
    Map<String, List<OrderIntent>> plan(
            List<RolloutProgress> moves, Collection<UpstreamVersions> upstreams, long nowMillis) {
        List<RolloutProgress> byDeadline = new ArrayList<>(moves);
        byDeadline.sort(Comparator.comparingLong((RolloutProgress move) -> move.record.deadlineMillis())
                .thenComparing(move -> move.record.model()));
        int loadsLeft = settings.concurrentLoads();
        for (RolloutProgress move : moves) {
            loadsLeft -= (int) move.unansweredIntents().stream()
                    .filter(intent -> intent.kind() == Order.Kind.LOAD)
                    .count();
        }
        Map<String, List<OrderIntent>> planned = new LinkedHashMap<>();
        for (RolloutProgress move : byDeadline) {
            if (move.pending != null || nowMillis < move.retryOrdersMillis) {
                continue;
            }
            if (move.record.phase() == RolloutPhase.DONE
                    && nowMillis - move.record.phaseStartMillis() < StageView.MAX_LEASE_MILLIS) {
                // An entry that has not yet received the last stage still sends requests to the old version.
                continue;
            }
            List<OrderIntent> orders = ordersFor(move, upstreamsOf(move, upstreams), Math.max(0, loadsLeft));
            loadsLeft -= (int) orders.stream()
                    .filter(order -> order.kind() == Order.Kind.LOAD)
                    .count();
            if (!orders.isEmpty()) {
                planned.put(move.record.model(), orders);
            }
        }
        return planned;
    }

    /**
     * Returns the number of upstreams that must hold the new version before the share may be published, or 0 if there
     * is no memory for it beside the old version.
     */
    int upstreamsNeeded(RolloutProgress move, Collection<UpstreamVersions> upstreams, int shareBasisPoints) {
        List<UpstreamVersions> all = upstreamsOf(move, upstreams);
        int needed = Math.max(1, (all.size() * shareBasisPoints + Stage.ALL_BASIS_POINTS - 1) / Stage.ALL_BASIS_POINTS);
        long singleVersionUpstreams =
                all.stream().filter(upstream -> upstream.maxVersions() == 1).count();
        int kept = singleVersionUpstreams == 0 ? 0 : Math.max(1, all.size() / KEPT_OLD_DIVISOR);
        return Math.min(needed, all.size() - kept);
    }

    /** Returns the number of upstreams that hold the new version. */
    int upstreamsReady(RolloutProgress move, Collection<UpstreamVersions> upstreams) {
        return (int) upstreamsOf(move, upstreams).stream()
                .filter(upstream -> upstream.hasLoaded(move.record.newVersion()))
                .count();
    }

    private List<OrderIntent> ordersFor(RolloutProgress move, List<UpstreamVersions> upstreams, int loadsLeft) {
        Set<String> busy = new HashSet<>();
        move.unansweredIntents().forEach(intent -> busy.add(intent.upstreamId()));
        List<UpstreamVersions> free = upstreams.stream()
                .filter(upstream -> !busy.contains(upstream.upstreamId()))
                .toList();
        return switch (move.record.phase()) {
            case LOADING, CANARY, GROWING, WATCHING -> loadNew(move, upstreams, free, loadsLeft);
            case DONE -> replaceVersion(move, free, move.record.oldVersion(), move.record.newVersion(), loadsLeft);
            case ROLLING_BACK ->
                replaceVersion(move, free, move.record.newVersion(), move.record.oldVersion(), loadsLeft);
            default -> List.of();
        };
    }

    private List<OrderIntent> loadNew(
            RolloutProgress move, List<UpstreamVersions> upstreams, List<UpstreamVersions> free, int loadsLeft) {
        int share = move.record.phase() == RolloutPhase.LOADING
                ? move.record.canaryBasisPoints()
                : settings.nextShare(move.record.shareBasisPoints());
        String newVersion = move.record.newVersion();
        int missing = upstreamsNeeded(move, upstreams, share) - upstreamsReady(move, upstreams);
        missing -= (int) move.unansweredIntents().stream()
                .filter(intent -> intent.version().equals(newVersion) || intent.kind() == Order.Kind.UNLOAD)
                .count();
        List<OrderIntent> orders = new ArrayList<>();
        List<UpstreamVersions> candidates = new ArrayList<>(free);
        candidates.sort(Comparator.comparing((UpstreamVersions upstream) -> !upstream.hasRoom())
                .thenComparing(UpstreamVersions::upstreamId));
        for (UpstreamVersions upstream : candidates) {
            if (orders.size() >= Math.min(missing, loadsLeft)) {
                break;
            }
            if (upstream.hasLoaded(newVersion)) {
                continue;
            }
            if (upstream.hasRoom()) {
                orders.add(order(move, upstream, Order.Kind.LOAD, newVersion));
            } else {
                String versionToUnload = upstream.loadedVersions().stream()
                        .filter(version -> !version.equals(move.record.oldVersion()))
                        .min(Comparator.naturalOrder())
                        .orElse(move.record.oldVersion());
                orders.add(order(move, upstream, Order.Kind.UNLOAD, versionToUnload));
            }
        }
        return orders;
    }

    private static List<OrderIntent> replaceVersion(
            RolloutProgress move,
            List<UpstreamVersions> free,
            String versionToUnload,
            String versionToLoad,
            int loadsLeft) {
        List<OrderIntent> orders = new ArrayList<>();
        int loads = 0;
        for (UpstreamVersions upstream : free) {
            if (upstream.hasLoaded(versionToUnload)) {
                orders.add(order(move, upstream, Order.Kind.UNLOAD, versionToUnload));
            } else if (!upstream.hasLoaded(versionToLoad) && upstream.hasRoom() && loads < loadsLeft) {
                orders.add(order(move, upstream, Order.Kind.LOAD, versionToLoad));
                loads++;
            }
        }
        return orders;
    }

    private static OrderIntent order(RolloutProgress move, UpstreamVersions upstream, Order.Kind kind, String version) {
        return new OrderIntent("unnumbered", upstream.upstreamId(), kind, move.record.model(), version);
    }

    private static List<UpstreamVersions> upstreamsOf(RolloutProgress move, Collection<UpstreamVersions> upstreams) {
        return upstreams.stream()
                .filter(upstream -> upstream.model().equals(move.record.model()))
                .sorted(Comparator.comparing(UpstreamVersions::upstreamId))
                .toList();
    }
}
