package dev.wigeonward.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import com.google.common.collect.Sets;
import dev.wigeonward.core.placement.UpstreamDescription;
import dev.wigeonward.core.placement.UpstreamPool;
import dev.wigeonward.core.placement.UpstreamState;

/** The upstreams that an entry knows, and the pools of those that may get new work. */
final class UpstreamDirectory {
    private final Map<String, Known> known = new HashMap<>();
    private final Map<String, Map<String, UpstreamPool>> pools = new HashMap<>();
    private final Map<String, Integer> slotsByTarget = new HashMap<>();

    /** Returns whether the agent behind the id was restarted since the last link. */
    boolean linkUp(UpstreamDescription description) {
        Known previous = known.get(description.upstreamId());
        boolean restarted = previous != null && previous.description().incarnation() != description.incarnation();
        if (previous != null) {
            previous.linked = false;
            refresh(previous);
        }
        Known next = previous == null || restarted ? new Known(UpstreamState.of(description)) : previous;
        next.linked = true;
        known.put(description.upstreamId(), next);
        refresh(next);
        return restarted;
    }

    void linkDown(String upstreamId) {
        Known upstream = known.get(upstreamId);
        if (upstream == null) {
            return;
        }
        upstream.linked = false;
        refresh(upstream);
    }

    void leaving(String upstreamId) {
        Known upstream = known.get(upstreamId);
        if (upstream == null) {
            return;
        }
        upstream.leaving = true;
        refresh(upstream);
    }

    void load(EntryEvent.LoadReported load, long nowMillis) {
        Known upstream = known.get(load.upstreamId());
        if (upstream == null) {
            return;
        }
        upstream.state.onReport(load.report(), nowMillis);
        upstream.alive = load.upstreamAlive();
        if (!load.versions().isEmpty()) {
            upstream.versions = load.versions();
        }
        refresh(upstream);
    }

    /** Returns the versions of a target that have usable upstreams. */
    Set<String> versions(String target) {
        return pools.getOrDefault(target, Map.of()).keySet();
    }

    Optional<UpstreamPool> pool(String target, String version) {
        return Optional.ofNullable(pools.getOrDefault(target, Map.of()).get(version));
    }

    /** Returns the state of an upstream that may get new work. */
    Optional<UpstreamState> usable(String upstreamId) {
        return Optional.ofNullable(known.get(upstreamId)).filter(Known::usable).map(upstream -> upstream.state);
    }

    Optional<UpstreamState> find(String upstreamId) {
        return Optional.ofNullable(known.get(upstreamId)).map(upstream -> upstream.state);
    }

    boolean linked(String upstreamId) {
        Known upstream = known.get(upstreamId);
        return upstream != null && upstream.linked;
    }

    /** Returns the slots of all usable upstreams of a target. */
    int slots(String target) {
        return slotsByTarget.getOrDefault(target, 0);
    }

    Set<String> upstreamIds() {
        return Set.copyOf(known.keySet());
    }

    /** Forgets an upstream without a link. */
    void forget(String upstreamId) {
        Known upstream = known.get(upstreamId);
        if (upstream != null && !upstream.linked) {
            known.remove(upstreamId);
        }
    }

    private void refresh(Known upstream) {
        UpstreamDescription description = upstream.description();
        Set<String> wanted = upstream.usable() ? upstream.versions : Set.of();
        if (wanted.equals(upstream.pooledVersions)) {
            return;
        }
        for (String version : Sets.difference(upstream.pooledVersions, wanted)) {
            removeFromPool(description, version);
        }
        for (String version : Sets.difference(wanted, upstream.pooledVersions)) {
            pools.computeIfAbsent(description.target(), target -> new TreeMap<>())
                    .computeIfAbsent(version, name -> UpstreamPool.create())
                    .put(upstream.state);
        }
        countSlots(upstream, wanted);
        upstream.pooledVersions = Set.copyOf(wanted);
    }

    private void removeFromPool(UpstreamDescription description, String version) {
        Map<String, UpstreamPool> versions = pools.get(description.target());
        UpstreamPool pool = versions.get(version);
        pool.remove(description.upstreamId());
        if (pool.size() == 0) {
            versions.remove(version);
        }
    }

    /** An upstream that holds several versions has its slots once. */
    private void countSlots(Known upstream, Set<String> wanted) {
        int slots = upstream.description().slots();
        if (upstream.pooledVersions.isEmpty() && !wanted.isEmpty()) {
            slotsByTarget.merge(upstream.description().target(), slots, Integer::sum);
        } else if (!upstream.pooledVersions.isEmpty() && wanted.isEmpty()) {
            slotsByTarget.merge(upstream.description().target(), -slots, Integer::sum);
        }
    }

    private static final class Known {
        private final UpstreamState state;
        private boolean linked;
        private boolean leaving;
        private boolean alive = true;
        private Set<String> versions;
        private Set<String> pooledVersions = Set.of();

        private Known(UpstreamState state) {
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
