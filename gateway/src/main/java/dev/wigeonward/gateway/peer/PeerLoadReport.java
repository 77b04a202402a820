package dev.wigeonward.gateway.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import dev.wigeonward.core.schedule.ServiceScheduler.EntryLoad;
import dev.wigeonward.core.schedule.pace.PaceCounts;
import dev.wigeonward.wire.generated.PeerLoad;

/** Loads of one entry and its counts of answers of paced upstreams, by upstream, as reported to its peers. */
record PeerLoadReport(Map<String, PeerLoad> loads) {
    /** Returns the report of an entry without requests. */
    static PeerLoadReport empty() {
        return new PeerLoadReport(Map.of());
    }

    /** Returns the report of the given loads and counts. */
    static PeerLoadReport of(List<EntryLoad> loads, Map<String, PaceCounts> counts) {
        Map<String, PeerLoad.Builder> builders = new HashMap<>();
        for (EntryLoad load : loads) {
            builder(builders, load.upstreamId()).setRequests(load.requests()).setPromptTokens(load.promptTokens());
        }
        counts.forEach((id, count) ->
                builder(builders, id).setGoodAnswers(count.goodAnswers()).setSetbacks(count.setbacks()));
        Map<String, PeerLoad> messages = new HashMap<>();
        builders.forEach((id, builder) -> messages.put(id, builder.build()));
        return new PeerLoadReport(messages);
    }

    private static PeerLoad.Builder builder(Map<String, PeerLoad.Builder> builders, String id) {
        return builders.computeIfAbsent(id, name -> PeerLoad.newBuilder().setUpstreamId(name));
    }

    /**
     * Returns the loads that differ from those of an earlier report or have changed otherwise; loads that have ended
     * are empty.
     */
    Map<String, PeerLoad> changesSince(PeerLoadReport earlier, Set<String> changedIds) {
        Map<String, PeerLoad> changes = new HashMap<>();
        loads.forEach((id, load) -> {
            if (changedIds.contains(id) || !load.equals(earlier.loads.get(id))) {
                changes.put(id, load);
            }
        });
        for (String id : earlier.loads.keySet()) {
            if (!loads.containsKey(id)) {
                changes.put(id, PeerLoad.newBuilder().setUpstreamId(id).build());
            }
        }
        return changes;
    }

    /** Returns the counts in a peer's message, by upstream; a peer of an earlier release reports none. */
    static Map<String, PaceCounts> counts(List<PeerLoad> messages) {
        Map<String, PaceCounts> counts = new HashMap<>();
        for (PeerLoad message : messages) {
            counts.put(
                    message.getUpstreamId(),
                    new PaceCounts(Math.max(0, message.getGoodAnswers()), Math.max(0, message.getSetbacks())));
        }
        return counts;
    }
}
