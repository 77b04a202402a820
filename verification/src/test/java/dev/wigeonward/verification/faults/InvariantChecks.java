package dev.wigeonward.verification.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import dev.wigeonward.core.error.RunState;
import dev.wigeonward.core.request.RequestId;

/** Checks the invariants of section 2 of the design page against the event log of a simulation. */
final class InvariantChecks {
    /** Time after the notice of a leaving upstream until entries must send it no more requests. */
    private static final long LEAVING_MILLIS = 3_000;

    private InvariantChecks() {}

    /** Returns the violations, each prefixed with the number of its invariant; empty if there are none. */
    static List<String> violations(EventLog log) {
        List<String> found = new ArrayList<>();
        Map<RequestId, Integer> runsById = new HashMap<>();
        Map<String, Integer> runsByKey = new HashMap<>();
        for (EventLog.RunStart run : log.runs) {
            runsById.merge(run.request().id(), 1, Integer::sum);
            if (!run.request().idempotent()) {
                runsByKey.merge(run.request().key().orElseThrow(), 1, Integer::sum);
            }
        }
        runsById.forEach((id, count) -> {
            if (count > 1) {
                found.add("1: " + id + " ran " + count + " times");
            }
        });
        for (EventLog.DroppedRequest dropped : log.droppedRequests) {
            if (dropped.waitingTiers().stream()
                    .anyMatch(tier -> dropped.request().tier().isAbove(tier))) {
                found.add("2: " + dropped);
            }
        }
        log.callers.values().forEach(caller -> checkCaller(caller, runsById, found));
        runsByKey.forEach((key, count) -> {
            if (count > 1) {
                found.add("6: key " + key + " ran " + count + " times");
            }
        });
        log.departures.forEach(departure -> log.runs.stream()
                .filter(run -> arrivedAfter(log, run, departure))
                .forEach(run -> found.add("7: " + run.request().id() + " after " + departure)));
        log.interruptions.forEach(interruption -> found.add("8: " + interruption));
        return found;
    }

    private static void checkCaller(
            EventLog.CallerResult caller, Map<RequestId, Integer> runsById, List<String> found) {
        RequestId id = caller.request.id();
        String whole = FakeUpstream.answerOf(caller.request.fingerprint());
        String got = caller.output.toString();
        if (!whole.startsWith(got) || (caller.ended && !whole.equals(got))) {
            found.add("4: " + id + " got " + got);
        }
        if (caller.answers > 1) {
            found.add("4: " + id + " was answered " + caller.answers + " times");
        }
        if (!caller.answered()) {
            found.add("4: " + id + " was never answered");
        }
        boolean answeredNotRun = caller.failure
                .filter(failure -> failure.kind().runState() == RunState.NOT_RUN)
                .isPresent();
        if (answeredNotRun && runsById.containsKey(id)) {
            found.add("5: " + id + " ran, but " + caller.failure.get());
        }
    }

    private static boolean arrivedAfter(EventLog log, EventLog.RunStart run, EventLog.Departure departure) {
        return run.upstreamId().equals(departure.upstreamId())
                && log.arrivals.stream()
                        .filter(arrival ->
                                arrival.request().equals(run.request().id()))
                        .filter(arrival -> arrival.upstreamId().equals(departure.upstreamId()))
                        .anyMatch(arrival -> arrival.atMillis() > departure.atMillis() + LEAVING_MILLIS);
    }
}
