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
 * Planner of loads and unloads within the limits of the weight store's rate and the engines' memory. Rollouts are
 * planned in order of their deadlines.
 */
final class LoadPlanner {
    /**
     * One in this many of a model's engines keeps the old version until the rollout is done, if some have room for one
     * version only.
     */
    private static final int KEPT_OLD_DIVISOR = 10;

    private final RolloutSettings settings;

    LoadPlanner(RolloutSettings settings) {
        this.settings = settings;
    }

    /** Returns the new orders of each model, with placeholders for their ids. */
    Map<String, List<OrderIntent>> plan(
            List<RolloutProgress> rollouts, Collection<UpstreamVersions> upstreams, long nowMillis) {
        List<RolloutProgress> byDeadline = new ArrayList<>(rollouts);
        byDeadline.sort(Comparator.comparingLong((RolloutProgress rollout) -> rollout.record.deadlineMillis())
                .thenComparing(rollout -> rollout.record.model()));
        int loadsLeft = settings.concurrentLoads();
        for (RolloutProgress rollout : rollouts) {
            loadsLeft -= (int) rollout.unansweredIntents().stream()
                    .filter(intent -> intent.kind() == Order.Kind.LOAD)
                    .count();
        }
        Map<String, List<OrderIntent>> planned = new LinkedHashMap<>();
        for (RolloutProgress rollout : byDeadline) {
            if (rollout.pending != null || nowMillis < rollout.retryOrdersMillis) {
                continue;
            }
            if (rollout.record.phase() == RolloutPhase.DONE
                    && nowMillis - rollout.record.phaseStartMillis() < StageView.MAX_LEASE_MILLIS) {
                // An entry that has not yet received the last stage still sends requests to the old version.
                continue;
            }
            List<OrderIntent> orders = ordersFor(rollout, upstreamsOf(rollout, upstreams), Math.max(0, loadsLeft));
            loadsLeft -= (int) orders.stream()
                    .filter(order -> order.kind() == Order.Kind.LOAD)
                    .count();
            if (!orders.isEmpty()) {
                planned.put(rollout.record.model(), orders);
            }
        }
        return planned;
    }

    /**
     * Returns the number of upstreams that must hold the new version before the share may be published, or 0 if there
     * is no memory for it beside the old version.
     */
    int upstreamsNeeded(RolloutProgress rollout, Collection<UpstreamVersions> upstreams, int shareBasisPoints) {
        List<UpstreamVersions> all = upstreamsOf(rollout, upstreams);
        int needed = Math.max(1, (all.size() * shareBasisPoints + Stage.ALL_BASIS_POINTS - 1) / Stage.ALL_BASIS_POINTS);
        long singleVersionUpstreams =
                all.stream().filter(upstream -> upstream.maxVersions() == 1).count();
        int kept = singleVersionUpstreams == 0 ? 0 : Math.max(1, all.size() / KEPT_OLD_DIVISOR);
        return Math.min(needed, all.size() - kept);
    }

    /** Returns the number of upstreams that hold the new version. */
    int upstreamsReady(RolloutProgress rollout, Collection<UpstreamVersions> upstreams) {
        return (int) upstreamsOf(rollout, upstreams).stream()
                .filter(upstream -> upstream.hasLoaded(rollout.record.newVersion()))
                .count();
    }

    private List<OrderIntent> ordersFor(RolloutProgress rollout, List<UpstreamVersions> upstreams, int loadsLeft) {
        Set<String> busy = new HashSet<>();
        rollout.unansweredIntents().forEach(intent -> busy.add(intent.upstreamId()));
        List<UpstreamVersions> free = upstreams.stream()
                .filter(upstream -> !busy.contains(upstream.upstreamId()))
                .toList();
        return switch (rollout.record.phase()) {
            case LOADING, CANARY, GROWING, WATCHING -> loadNew(rollout, upstreams, free, loadsLeft);
            case DONE ->
                replaceVersion(rollout, free, rollout.record.oldVersion(), rollout.record.newVersion(), loadsLeft);
            case ROLLING_BACK ->
                replaceVersion(rollout, free, rollout.record.newVersion(), rollout.record.oldVersion(), loadsLeft);
            default -> List.of();
        };
    }

    private List<OrderIntent> loadNew(
            RolloutProgress rollout, List<UpstreamVersions> upstreams, List<UpstreamVersions> free, int loadsLeft) {
        int share = rollout.record.phase() == RolloutPhase.LOADING
                ? rollout.record.canaryBasisPoints()
                : settings.nextShare(rollout.record.shareBasisPoints());
        String newVersion = rollout.record.newVersion();
        int missing = upstreamsNeeded(rollout, upstreams, share) - upstreamsReady(rollout, upstreams);
        missing -= (int) rollout.unansweredIntents().stream()
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
                orders.add(order(rollout, upstream, Order.Kind.LOAD, newVersion));
            } else {
                String versionToUnload = upstream.loadedVersions().stream()
                        .filter(version -> !version.equals(rollout.record.oldVersion()))
                        .min(Comparator.naturalOrder())
                        .orElse(rollout.record.oldVersion());
                orders.add(order(rollout, upstream, Order.Kind.UNLOAD, versionToUnload));
            }
        }
        return orders;
    }

    private static List<OrderIntent> replaceVersion(
            RolloutProgress rollout,
            List<UpstreamVersions> free,
            String versionToUnload,
            String versionToLoad,
            int loadsLeft) {
        List<OrderIntent> orders = new ArrayList<>();
        int loads = 0;
        for (UpstreamVersions upstream : free) {
            if (upstream.hasLoaded(versionToUnload)) {
                orders.add(order(rollout, upstream, Order.Kind.UNLOAD, versionToUnload));
            } else if (!upstream.hasLoaded(versionToLoad) && upstream.hasRoom() && loads < loadsLeft) {
                orders.add(order(rollout, upstream, Order.Kind.LOAD, versionToLoad));
                loads++;
            }
        }
        return orders;
    }

    private static OrderIntent order(
            RolloutProgress rollout, UpstreamVersions upstream, Order.Kind kind, String version) {
        return new OrderIntent("unnumbered", upstream.upstreamId(), kind, rollout.record.model(), version);
    }

    private static List<UpstreamVersions> upstreamsOf(RolloutProgress rollout, Collection<UpstreamVersions> upstreams) {
        return upstreams.stream()
                .filter(upstream -> upstream.model().equals(rollout.record.model()))
                .sorted(Comparator.comparing(UpstreamVersions::upstreamId))
                .toList();
    }
}
