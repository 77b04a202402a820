package dev.wigeonward.core.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.google.common.base.Preconditions;
import dev.wigeonward.core.schedule.ServiceScheduler.EntryLoad;

/**
 * Loads that the peers of an entry have reported, with their sum for each upstream. A report costs time in proportion
 * to the loads that it contains, not to the number of peers. Not thread-safe.
 */
public final class PeerLoadTable {
    private final Map<String, Map<String, EntryLoad>> loadsByPeer = new HashMap<>();
    private final Map<String, EntryLoad> totals = new HashMap<>();

    private PeerLoadTable() {}

    /** Returns a table without reports. */
    public static PeerLoadTable create() {
        return new PeerLoadTable();
    }

    /** Replaces the loads of a peer and returns the totals that this changes. */
    public List<EntryLoad> replace(String peer, Collection<EntryLoad> loads) {
        Map<String, EntryLoad> newer = new HashMap<>();
        loads.forEach(load -> newer.put(load.upstreamId(), load));
        List<EntryLoad> changes = new ArrayList<>(newer.values());
        for (String upstreamId : loadsByPeer.getOrDefault(peer, Map.of()).keySet()) {
            if (!newer.containsKey(upstreamId)) {
                changes.add(EntryLoad.none(upstreamId));
            }
        }
        return update(peer, changes);
    }

    /** Replaces the loads of a peer at the given upstreams and returns the totals that this changes. */
    public List<EntryLoad> update(String peer, Collection<EntryLoad> loads) {
        Map<String, EntryLoad> known = loadsByPeer.computeIfAbsent(peer, name -> new HashMap<>());
        List<EntryLoad> changed = new ArrayList<>();
        for (EntryLoad load : loads) {
            Preconditions.checkArgument(
                    load.requests() >= 0 && load.promptTokens() >= 0,
                    "load of peer %s is %s, expected no negative number",
                    peer,
                    load);
            EntryLoad previous = load.equals(EntryLoad.none(load.upstreamId()))
                    ? known.remove(load.upstreamId())
                    : known.put(load.upstreamId(), load);
            if (previous == null) {
                previous = EntryLoad.none(load.upstreamId());
            }
            if (!previous.equals(load)) {
                changed.add(changeTotal(load, previous));
            }
        }
        return changed;
    }

    private EntryLoad changeTotal(EntryLoad load, EntryLoad previous) {
        EntryLoad before = total(load.upstreamId());
        EntryLoad after = new EntryLoad(
                load.upstreamId(),
                before.requests() + load.requests() - previous.requests(),
                before.promptTokens() + load.promptTokens() - previous.promptTokens());
        if (after.equals(EntryLoad.none(load.upstreamId()))) {
            totals.remove(load.upstreamId());
        } else {
            totals.put(load.upstreamId(), after);
        }
        return after;
    }

    /** Removes a peer and returns the totals that this changes. */
    public List<EntryLoad> remove(String peer) {
        List<EntryLoad> changed = replace(peer, List.of());
        loadsByPeer.remove(peer);
        return changed;
    }

    /** Returns the sum of the loads of all peers at an upstream. */
    public EntryLoad total(String upstreamId) {
        return totals.getOrDefault(upstreamId, EntryLoad.none(upstreamId));
    }
}
