package dev.wigeonward.verification.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;

/** Log of the runs at the upstreams and the answers received by the callers, as the checks read them. */
final class EventLog {
    final List<RunStart> runs = new ArrayList<>();
    final Map<RequestId, CallerResult> callers = new LinkedHashMap<>();
    final List<Departure> departures = new ArrayList<>();
    final List<DroppedRequest> droppedRequests = new ArrayList<>();
    final List<Interruption> interruptions = new ArrayList<>();
    final List<Arrival> arrivals = new ArrayList<>();
    private final Map<String, Map<RequestId, RequestSpec>> waiting = new HashMap<>();

    /** Start of a request at an upstream. */
    record RunStart(RequestSpec request, String upstreamId, long atMillis) {}

    /** Start of the graceful shutdown of an agent. */
    record Departure(String upstreamId, long atMillis) {}

    /** Arrival of a request at an agent. */
    record Arrival(RequestId request, String upstreamId, long atMillis) {}

    /** Request that a full queue dropped, with the tiers of the requests still waiting there. */
    record DroppedRequest(String queueId, RequestSpec request, List<Tier> waitingTiers) {}

    /**
     * Request that a process still held when its graceful shutdown ended, or whose caller had not yet received the end
     * of its answer.
     */
    record Interruption(String nodeId, RequestId request) {}

    /** Answer received by one caller. */
    static final class CallerResult {
        final RequestSpec request;
        final StringBuilder output = new StringBuilder();
        boolean ended;
        boolean connectionLost;
        Optional<Failure> failure = Optional.empty();
        int answers;
        long answeredAtMillis;

        CallerResult(RequestSpec request) {
            this.request = request;
        }

        boolean answered() {
            return answers > 0 || connectionLost;
        }
    }

    void enqueued(String queueId, RequestSpec request) {
        waiting.computeIfAbsent(queueId, id -> new LinkedHashMap<>()).put(request.id(), request);
    }

    void dequeued(String queueId, RequestId request) {
        Optional.ofNullable(waiting.get(queueId)).ifPresent(requests -> requests.remove(request));
    }

    /**
     * Removes a refused request from the queue and, if it was dropped because the queue was full, records the tiers
     * still waiting. Does nothing for a request that had already left the queue, since it was refused elsewhere.
     */
    void refused(String queueId, RequestSpec request, Failure failure) {
        boolean waited = waiting.containsKey(queueId) && waiting.get(queueId).remove(request.id()) != null;
        if (!waited) {
            return;
        }
        if (failure.kind() == ErrorKind.DISPLACED || failure.kind() == ErrorKind.OVERLOADED) {
            List<Tier> tiers = waiting.getOrDefault(queueId, Map.of()).values().stream()
                    .map(RequestSpec::tier)
                    .toList();
            droppedRequests.add(new DroppedRequest(queueId, request, tiers));
        }
    }

    void cleared(String queueId) {
        waiting.remove(queueId);
    }

    CallerResult caller(RequestId id) {
        return callers.get(id);
    }
}
