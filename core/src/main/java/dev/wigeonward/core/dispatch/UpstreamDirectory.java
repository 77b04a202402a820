package dev.wigeonward.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import com.google.common.collect.Sets;
import dev.wigeonward.core.placement.UpstreamDescription;
import dev.wigeonward.core.placement.UpstreamLoadState;
import dev.wigeonward.core.placement.UpstreamPool;

/** The upstreams known to an entry, and pools of the usable ones by target and version. */
final class UpstreamDirectory {
    private final Map<String, Upstream> upstreamsById = new HashMap<>();
    /** Pools of the usable upstreams by target and version. */
    private final Map<String, Map<String, UpstreamPool>> pools = new HashMap<>();

    private final Map<String, Integer> slotsByTarget = new HashMap<>();

    /** Records a new link and returns whether the agent was restarted since its previous link. */
    boolean onLinkUp(UpstreamDescription description) {
        Upstream previous = upstreamsById.get(description.upstreamId());
        boolean restarted = previous != null && previous.description().incarnation() != description.incarnation();
        if (previous != null) {
            previous.linked = false;
            updatePools(previous);
        }
        Upstream next = previous == null || restarted ? new Upstream(UpstreamLoadState.of(description)) : previous;
        next.linked = true;
        upstreamsById.put(description.upstreamId(), next);
        updatePools(next);
        return restarted;
    }

    void onLinkDown(String upstreamId) {
        Upstream upstream = upstreamsById.get(upstreamId);
        if (upstream == null) {
            return;
        }
        upstream.linked = false;
        updatePools(upstream);
    }

    void onLeaving(String upstreamId) {
        Upstream upstream = upstreamsById.get(upstreamId);
        if (upstream == null) {
            return;
        }
        upstream.leaving = true;
        updatePools(upstream);
    }

    void onLoad(EntryEvent.LoadReported load, long nowMillis) {
        Upstream upstream = upstreamsById.get(load.upstreamId());
        if (upstream == null) {
            return;
        }
        upstream.state.onReport(load.report(), nowMillis);
        upstream.alive = load.upstreamAlive();
        if (!load.versions().isEmpty()) {
            upstream.versions = load.versions();
        }
        updatePools(upstream);
    }

    /** Returns the versions of a target that have usable upstreams. */
    Set<String> versions(String target) {
        return pools.getOrDefault(target, Map.of()).keySet();
    }

    Optional<UpstreamPool> pool(String target, String version) {
        return Optional.ofNullable(pools.getOrDefault(target, Map.of()).get(version));
    }

    /** Returns the state of an upstream if new requests may be dispatched to it. */
    Optional<UpstreamLoadState> usable(String upstreamId) {
        return Optional.ofNullable(upstreamsById.get(upstreamId))
                .filter(Upstream::usable)
                .map(upstream -> upstream.state);
    }

    Optional<UpstreamLoadState> find(String upstreamId) {
        return Optional.ofNullable(upstreamsById.get(upstreamId)).map(upstream -> upstream.state);
    }

    boolean linked(String upstreamId) {
        Upstream upstream = upstreamsById.get(upstreamId);
        return upstream != null && upstream.linked;
    }

    /** Returns the total number of slots of the usable upstreams of a target. */
    int slots(String target) {
        return slotsByTarget.getOrDefault(target, 0);
    }

    Set<String> upstreamIds() {
        return Set.copyOf(upstreamsById.keySet());
    }

    /** Removes an upstream unless it has a link. */
    void removeUnlinked(String upstreamId) {
        Upstream upstream = upstreamsById.get(upstreamId);
        if (upstream != null && !upstream.linked) {
            upstreamsById.remove(upstreamId);
        }
    }

    private void updatePools(Upstream upstream) {
        UpstreamDescription description = upstream.description();
        Set<String> newVersions = upstream.usable() ? upstream.versions : Set.of();
        if (newVersions.equals(upstream.pooledVersions)) {
            return;
        }
        for (String version : Sets.difference(upstream.pooledVersions, newVersions)) {
            removeFromPool(description, version);
        }
        for (String version : Sets.difference(newVersions, upstream.pooledVersions)) {
            pools.computeIfAbsent(description.target(), target -> new TreeMap<>())
                    .computeIfAbsent(version, name -> UpstreamPool.create())
                    .put(upstream.state);
        }
        updateSlots(upstream, newVersions);
        upstream.pooledVersions = Set.copyOf(newVersions);
    }

    private void removeFromPool(UpstreamDescription description, String version) {
        Map<String, UpstreamPool> versions = pools.get(description.target());
        UpstreamPool pool = versions.get(version);
        pool.remove(description.upstreamId());
        if (pool.size() == 0) {
            versions.remove(version);
        }
    }

    /** Updates the number of slots of the target; an upstream counts once, however many versions it serves. */
    private void updateSlots(Upstream upstream, Set<String> newVersions) {
        int slots = upstream.description().slots();
        if (upstream.pooledVersions.isEmpty() && !newVersions.isEmpty()) {
            slotsByTarget.merge(upstream.description().target(), slots, Integer::sum);
        } else if (!upstream.pooledVersions.isEmpty() && newVersions.isEmpty()) {
            slotsByTarget.merge(upstream.description().target(), -slots, Integer::sum);
        }
    }

    private static final class Upstream {
        private final UpstreamLoadState state;
        private boolean linked;
        private boolean leaving;
        private boolean alive = true;
        private Set<String> versions;
        private Set<String> pooledVersions = Set.of();

        private Upstream(UpstreamLoadState state) {
            this.state = state;
            this.versions = Set.of(state.description().version());
        }

        private UpstreamDescription description() {
            return state.description();
        }

        private boolean usable() {
            return linked && alive && !leaving;
        }
    }
}
