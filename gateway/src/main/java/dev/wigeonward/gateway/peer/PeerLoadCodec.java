package dev.wigeonward.gateway.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import dev.wigeonward.core.schedule.ServiceScheduler.EntryLoad;
import dev.wigeonward.gateway.exchange.WorkspaceCaps;
import dev.wigeonward.wire.generated.PeerDemand;
import dev.wigeonward.wire.generated.PeerLoad;
import dev.wigeonward.wire.generated.PeerState;

/** Encoding of loads and usages in the states of peers. */
final class PeerLoadCodec {
    private PeerLoadCodec() {}

    static PeerLoad toMessage(EntryLoad load) {
        return PeerLoad.newBuilder()
                .setUpstreamId(load.upstreamId())
                .setRequests(load.requests())
                .setPromptTokens(load.promptTokens())
                .build();
    }

    /** Returns the loads of a peer without those that this entry has granted, which its scheduler counts itself. */
    static List<EntryLoad> loads(PeerState state) {
        List<EntryLoad> loads = new ArrayList<>();
        for (PeerLoad load : state.getLoadsList()) {
            loads.add(new EntryLoad(
                    load.getUpstreamId(),
                    Math.max(0, load.getRequests() - load.getGranted()),
                    Math.max(0, load.getPromptTokens() - load.getGrantedPromptTokens())));
        }
        return loads;
    }

    /** Returns the state with the loads that its receiver has granted marked as such. */
    static PeerState withGranted(PeerState state, Map<String, EntryLoad> granted) {
        PeerState.Builder marked = state.toBuilder();
        for (PeerLoad.Builder load : marked.getLoadsBuilderList()) {
            EntryLoad own = granted.get(load.getUpstreamId());
            if (own != null) {
                load.setGranted(own.requests()).setGrantedPromptTokens(own.promptTokens());
            }
        }
        return marked.build();
    }

    static PeerDemand toMessage(String workspace, WorkspaceCaps.Usage usage) {
        return PeerDemand.newBuilder()
                .setTenant(workspace)
                .setUsedTotal((long) usage.total())
                .setLevel((long) usage.remaining())
                .build();
    }
}
