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

/** What really happened: runs as the upstreams saw them and answers as the callers got them. */
final class Ledger {
    final List<RunStart> runs = new ArrayList<>();
    final Map<RequestId, CallerView> callers = new LinkedHashMap<>();
    final List<Departure> departures = new ArrayList<>();
    final List<Shed> sheds = new ArrayList<>();
    final List<Interruption> interruptions = new ArrayList<>();
    final List<Arrival> arrivals = new ArrayList<>();
    private final Map<String, Map<RequestId, RequestSpec>> waiting = new HashMap<>();

    /** The upstream began to run a request. */
    record RunStart(RequestSpec request, String upstreamId, long atMillis) {}

    /** The upstream was told to leave. */
    record Departure(String upstreamId, long atMillis) {}

    /** A request came to an agent. */
    record Arrival(RequestId request, String upstreamId, long atMillis) {}

    /** A queue was full and gave a request up; with the tiers that waited there. */
    record Shed(String queueId, RequestSpec request, List<Tier> waited) {}

    /**
     * A process ended its graceful shutdown while it still held a request, or while the caller of an answered one still
     * waited for the end of its answer.
     */
    record Interruption(String nodeId, RequestId request) {}

    /** What one caller got. */
    static final class CallerView {
        final RequestSpec request;
        final StringBuilder output = new StringBuilder();
        boolean ended;
        boolean connectionLost;
        Optional<Failure> failure = Optional.empty();
        int answers;
        long answeredAtMillis;

        CallerView(RequestSpec request) {
            this.request = request;
        }

        boolean answered() {
            return answers > 0 || connectionLost;
        }
    }

    void entered(String queueId, RequestSpec request) {
        waiting.computeIfAbsent(queueId, id -> new LinkedHashMap<>()).put(request.id(), request);
    }

    void left(String queueId, RequestId request) {
        Optional.ofNullable(waiting.get(queueId)).ifPresent(requests -> requests.remove(request));
    }

    /**
     * Records the end of a request's wait, and the tiers that still wait if the queue gave it up for lack of room. A
     * request that had left the queue before was refused elsewhere.
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
            sheds.add(new Shed(queueId, request, tiers));
        }
    }

    void emptied(String queueId) {
        waiting.remove(queueId);
    }

    CallerView caller(RequestId id) {
        return callers.get(id);
    }
}
