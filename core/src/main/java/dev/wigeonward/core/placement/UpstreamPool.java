package dev.wigeonward.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The usable upstreams of one target and version, in an order that allows choice by index. Not thread-safe. */
public final class UpstreamPool {
    private final List<UpstreamState> members = new ArrayList<>();
    private final Map<String, Integer> positions = new HashMap<>();
    private int slots;

    private UpstreamPool() {}

    /** Returns an empty pool. */
    public static UpstreamPool create() {
        return new UpstreamPool();
    }

    /** Adds or replaces the upstream with the state's id. */
    public void put(UpstreamState state) {
        Integer position = positions.get(state.description().upstreamId());
        slots += state.description().slots();
        if (position != null) {
            slots -= members.get(position).description().slots();
            members.set(position, state);
            return;
        }
        positions.put(state.description().upstreamId(), members.size());
        members.add(state);
    }

    /** Removes the upstream; the last member takes its position. Takes constant time. */
    public void remove(String upstreamId) {
        Integer position = positions.remove(upstreamId);
        if (position == null) {
            return;
        }
        slots -= members.get(position).description().slots();
        UpstreamState last = members.remove(members.size() - 1);
        if (position < members.size()) {
            members.set(position, last);
            positions.put(last.description().upstreamId(), position);
        }
    }

    /** Returns the member at a position from 0 to {@code size() - 1}. */
    public UpstreamState get(int position) {
        return members.get(position);
    }

    /** Returns the member with the given id, or empty if it is not in the pool. */
    public Optional<UpstreamState> find(String upstreamId) {
        return Optional.ofNullable(positions.get(upstreamId)).map(members::get);
    }

    /** Returns the slots of all members. */
    public int slots() {
        return slots;
    }

    /** Returns the number of members. */
    public int size() {
        return members.size();
    }
}
