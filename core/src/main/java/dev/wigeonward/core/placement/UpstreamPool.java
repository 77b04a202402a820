package dev.wigeonward.core.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Pool of the usable upstreams of one target and version, accessible by position. Not thread-safe. */
public final class UpstreamPool {
    private static final int INITIAL_CAPACITY = 16;

    private final List<UpstreamLoadState> members = new ArrayList<>();
    private final Map<String, Integer> positions = new HashMap<>();
    /** Hashes of the members' ids by position; a contiguous array, because key affinity reads all of them. */
    private long[] idHashes = new long[INITIAL_CAPACITY];

    private UpstreamPool() {}

    /** Returns an empty pool. */
    public static UpstreamPool create() {
        return new UpstreamPool();
    }

    /** Adds the upstream, or replaces the state of the member with the same id. */
    public void put(UpstreamLoadState state) {
        Integer position = positions.get(state.description().upstreamId());
        if (position != null) {
            members.set(position, state);
            return;
        }
        positions.put(state.description().upstreamId(), members.size());
        if (members.size() == idHashes.length) {
            idHashes = Arrays.copyOf(idHashes, idHashes.length * 2);
        }
        idHashes[members.size()] = Rendezvous.hash(state.description().upstreamId());
        members.add(state);
    }

    /** Removes the upstream, if present, and moves the last member to its position. Takes constant time. */
    public void remove(String upstreamId) {
        Integer position = positions.remove(upstreamId);
        if (position == null) {
            return;
        }
        UpstreamLoadState last = members.remove(members.size() - 1);
        if (position < members.size()) {
            members.set(position, last);
            idHashes[position] = idHashes[members.size()];
            positions.put(last.description().upstreamId(), position);
        }
    }

    /** Returns the member at a position from 0 to {@code size() - 1}. */
    public UpstreamLoadState get(int position) {
        return members.get(position);
    }

    /**
     * Returns the position of the member with the highest rendezvous weight for the key. The pool must not be empty.
     * Ties are broken by the hash of the id, so that the result does not depend on the order of the members.
     */
    int heaviest(long keyHash) {
        long[] hashes = idHashes;
        int size = members.size();
        int best = 0;
        long bestWeight = Rendezvous.weight(keyHash, hashes[0]);
        for (int position = 1; position < size; position++) {
            long weight = Rendezvous.weight(keyHash, hashes[position]);
            if (weight >= bestWeight && (weight > bestWeight || hashes[position] > hashes[best])) {
                best = position;
                bestWeight = weight;
            }
        }
        return best;
    }

    /** Returns the member with the given id, or empty if it is not in the pool. */
    public Optional<UpstreamLoadState> find(String upstreamId) {
        return Optional.ofNullable(positions.get(upstreamId)).map(members::get);
    }

    /** Returns the number of members. */
    public int size() {
        return members.size();
    }
}
