package dev.wigeonward.gateway.peer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import dev.wigeonward.core.schedule.ServiceScheduler.EntryLoad;
import dev.wigeonward.gateway.coordination.EntryCoordination;
import dev.wigeonward.gateway.coordination.PlacementTransport;
import dev.wigeonward.gateway.exchange.GatewayDispatcher;
import dev.wigeonward.wire.Link;
import dev.wigeonward.wire.generated.Frame;
import dev.wigeonward.wire.generated.PeerState;
import dev.wigeonward.wire.generated.PlacementBatch;

/** Coordination over the links to the peers, which are identified by their link addresses. */
final class PeerPlacements implements PlacementTransport {
    private static final double MILLI = 1_000;

    private final Map<Long, Link> links;
    private final Map<Long, String> addresses = new HashMap<>();
    private final Map<String, Link> linksByAddress = new HashMap<>();
    private final Optional<EntryCoordination> coordination;
    private final int ownWeight;

    /**
     * Starts coordination unless the settings leave it off.
     *
     * @param links view of the links that are up
     */
    PeerPlacements(GatewayDispatcher dispatcher, String ownAddress, Map<Long, Link> links) {
        this.links = links;
        this.coordination = dispatcher.startCoordination(ownAddress, this);
        this.ownWeight = coordination.isEmpty() ? 0 : Math.max(1, (int) (MILLI * dispatcher.coordinationCores()));
    }

    /** Returns the weight of this entry in thousandths of a core, or 0 if it does not coordinate. */
    int ownWeight() {
        return ownWeight;
    }

    @Override
    public void send(String entry, PlacementBatch batch) {
        Link link = linksByAddress.get(entry);
        if (link != null) {
            link.send(Frame.newBuilder().setPlacementBatch(batch).build());
        }
    }

    /** Sends a state to each peer; the loads that the peer has granted are marked for it. */
    void sendToAll(PeerState state) {
        Map<String, Map<String, EntryLoad>> granted =
                coordination.map(EntryCoordination::grantedLoads).orElse(Map.of());
        Frame common = Frame.newBuilder().setPeerState(state).build();
        Set<String> reached = new HashSet<>();
        for (Link link : links.values()) {
            if (!reached.add(link.peerHello().getNodeId()) || !link.isWritable()) {
                continue;
            }
            Map<String, EntryLoad> grantedByPeer =
                    granted.getOrDefault(addresses.getOrDefault(link.id(), ""), Map.of());
            link.send(
                    grantedByPeer.isEmpty()
                            ? common
                            : Frame.newBuilder()
                                    .setPeerState(PeerLoadCodec.withGranted(state, grantedByPeer))
                                    .build());
        }
    }

    /** Returns the requests that peers have granted and that have not ended, by upstream. */
    Map<String, Integer> grantedCounts() {
        Map<String, Integer> counts = new HashMap<>();
        coordination
                .map(EntryCoordination::grantedLoads)
                .orElse(Map.of())
                .values()
                .forEach(loads ->
                        loads.forEach((upstreamId, load) -> counts.merge(upstreamId, load.requests(), Integer::sum)));
        return counts;
    }

    void onBatch(Link link, PlacementBatch batch) {
        String address = addresses.get(link.id());
        if (address != null) {
            coordination.ifPresent(started -> started.onBatch(address, batch));
        }
    }

    void onState(Link link, PeerState state) {
        addresses.put(link.id(), state.getAddress());
        linksByAddress.put(state.getAddress(), link);
        coordination.ifPresent(started -> {
            // Weights are stated in full states only.
            if (state.getPartial()) {
                started.onHeard(state.getAddress());
            } else {
                started.onHeard(state.getAddress(), state.getCoordinationWeight() / MILLI);
            }
        });
    }

    /** Drops what is open between the two entries, on any of their links, which the peer does as well. */
    void onDown(Link link) {
        String address = addresses.remove(link.id());
        if (address == null) {
            return;
        }
        linksByAddress.remove(address, link);
        coordination.ifPresent(started -> started.onEntryDown(address));
    }
}
