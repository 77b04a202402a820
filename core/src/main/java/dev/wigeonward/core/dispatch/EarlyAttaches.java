package dev.wigeonward.core.dispatch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import dev.wigeonward.core.request.RequestId;

/**
 * Attaches to requests that this agent has not received yet. A claim is visible to other entries before the dispatch
 * that follows it has arrived, so an attach may overtake the dispatch. Not thread-safe.
 */
final class EarlyAttaches {
    /** Time for which the dispatch is awaited; it follows the claim within a few milliseconds unless its entry died. */
    static final long PATIENCE_MILLIS = 300;
    /** Attaches beyond this number are answered without waiting. */
    private static final int MAX_WAITING = 4_096;

    /** By the attaching request; a repetition on a new link replaces the first one. */
    private final Map<RequestId, Waiting> waiting = new LinkedHashMap<>();

    private record Waiting(AgentEvent.DispatchArrived arrived, long untilMillis) {}

    /** Returns false if too many wait. */
    boolean add(AgentEvent.DispatchArrived arrived, long nowMillis) {
        if (waiting.size() >= MAX_WAITING) {
            return false;
        }
        waiting.put(arrived.request().id(), new Waiting(arrived, nowMillis + PATIENCE_MILLIS));
        return true;
    }

    /** Removes and returns those that wait for the given request. */
    List<AgentEvent.DispatchArrived> take(RequestId awaited) {
        return remove(each -> awaited.equals(each.arrived().attachTo().orElseThrow()));
    }

    /** Removes and returns those that have waited long enough. */
    List<AgentEvent.DispatchArrived> takeExpired(long nowMillis) {
        return remove(each -> nowMillis >= each.untilMillis());
    }

    /** Forgets those that came on a lost link; their entries ask again. */
    void linkLost(long link) {
        remove(each -> each.arrived().link() == link);
    }

    private List<AgentEvent.DispatchArrived> remove(Predicate<Waiting> condition) {
        List<AgentEvent.DispatchArrived> removed = new ArrayList<>();
        for (Iterator<Waiting> each = waiting.values().iterator(); each.hasNext(); ) {
            Waiting next = each.next();
            if (condition.test(next)) {
                each.remove();
                removed.add(next.arrived());
            }
        }
        return removed;
    }
}
