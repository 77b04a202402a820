package dev.wigeonward.core.dispatch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import dev.wigeonward.core.request.RequestId;

/**
 * Attach dispatches held until the request that they refer to arrives. A claim is visible to other entries before the
 * dispatch that follows it reaches the agent, so an attach may overtake that dispatch. Not thread-safe.
 */
final class EarlyAttaches {
    /** Longest time to hold an attach; a dispatch follows its claim within a few milliseconds unless its entry died. */
    static final long MAX_WAIT_MILLIS = 300;
    /** Largest number of held attaches; further ones are answered at once. */
    private static final int MAX_HELD = 4_096;

    /** Held attaches by attaching request; an attach repeated on a new link replaces the first one. */
    private final Map<RequestId, HeldAttach> held = new LinkedHashMap<>();

    private record HeldAttach(AgentEvent.DispatchArrived arrived, long untilMillis) {}

    /** Holds an attach, or returns false if too many are held. */
    boolean add(AgentEvent.DispatchArrived arrived, long nowMillis) {
        if (held.size() >= MAX_HELD) {
            return false;
        }
        held.put(arrived.request().id(), new HeldAttach(arrived, nowMillis + MAX_WAIT_MILLIS));
        return true;
    }

    /** Removes and returns the attaches to the run of the given request. */
    List<AgentEvent.DispatchArrived> removeFor(RequestId awaited) {
        return remove(attach -> awaited.equals(attach.arrived().attachTo().orElseThrow()));
    }

    /** Removes and returns the attaches that were held for the longest time allowed. */
    List<AgentEvent.DispatchArrived> removeExpired(long nowMillis) {
        return remove(attach -> nowMillis >= attach.untilMillis());
    }

    /** Removes the attaches that arrived on a lost link; their entries send them again. */
    void onLinkLost(long link) {
        remove(attach -> attach.arrived().link() == link);
    }

    private List<AgentEvent.DispatchArrived> remove(Predicate<HeldAttach> condition) {
        List<AgentEvent.DispatchArrived> removed = new ArrayList<>();
        for (Iterator<HeldAttach> iterator = held.values().iterator(); iterator.hasNext(); ) {
            HeldAttach next = iterator.next();
            if (condition.test(next)) {
                iterator.remove();
                removed.add(next.arrived());
            }
        }
        return removed;
    }
}
