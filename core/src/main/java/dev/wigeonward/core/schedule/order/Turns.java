package dev.wigeonward.core.schedule.order;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Workspaces of one queue ordered by turn. The turn of a workspace is computed only when {@link #update} is called for
 * it, so that a decision does not cost time in proportion to the number of workspaces. Not thread-safe.
 */
final class Turns {
    private final ToDoubleFunction<String> turnOf;
    private final Map<String, Key> keys = new HashMap<>();
    private final TreeMap<Key, Flow> ordered = new TreeMap<>();

    /**
     * Creates an order without workspaces.
     *
     * @param turnOf turn of a workspace at present; the lowest goes first
     */
    Turns(ToDoubleFunction<String> turnOf) {
        this.turnOf = turnOf;
    }

    /** Returns the requests of the workspace, or null if it has none here. */
    Flow get(String workspace) {
        Key key = keys.get(workspace);
        return key == null ? null : ordered.get(key);
    }

    void add(Flow flow) {
        Key key = new Key(turnOf.applyAsDouble(flow.workspace()), flow.workspace());
        keys.put(flow.workspace(), key);
        ordered.put(key, flow);
    }

    void remove(String workspace) {
        ordered.remove(keys.remove(workspace));
    }

    /** Updates the turn of a workspace, if it is here. */
    void update(String workspace) {
        Key key = keys.get(workspace);
        if (key != null && key.turn != turnOf.applyAsDouble(workspace)) {
            add(ordered.remove(key));
        }
    }

    /** Returns the lowest turn, or 0 if there is no workspace. */
    double lowest() {
        return ordered.isEmpty() ? 0 : ordered.firstKey().turn;
    }

    /** Returns the workspaces that meet the condition and whose turn is next, up to the given number. */
    List<Flow> first(int count, Predicate<Flow> condition) {
        List<Flow> first = new ArrayList<>();
        for (Iterator<Flow> each = ordered.values().iterator(); each.hasNext() && first.size() < count; ) {
            Flow flow = each.next();
            if (condition.test(flow)) {
                first.add(flow);
            }
        }
        return first;
    }

    private record Key(double turn, String workspace) implements Comparable<Key> {
        @Override
        public int compareTo(Key other) {
            int byTurn = Double.compare(turn, other.turn);
            return byTurn != 0 ? byTurn : workspace.compareTo(other.workspace);
        }
    }
}
