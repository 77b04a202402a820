package dev.wigeonward.verification.faults;

import java.util.ArrayList;
import java.util.List;

/** Simulated process that can be killed, frozen, and restarted with empty memory. */
abstract class Node {
    private final String id;
    private final List<Runnable> deferred = new ArrayList<>();
    private long incarnation = 1;
    private boolean alive = true;
    private boolean frozen;

    Node(String id) {
        this.id = id;
    }

    String id() {
        return id;
    }

    long incarnation() {
        return incarnation;
    }

    boolean alive() {
        return alive;
    }

    boolean running() {
        return alive && !frozen;
    }

    boolean frozen() {
        return frozen;
    }

    /** Runs code now, or after {@link #resume} if the node is frozen; drops it if the node is down. */
    void runOrDefer(Runnable code) {
        if (frozen) {
            deferred.add(code);
        } else if (alive) {
            code.run();
        }
    }

    void kill() {
        alive = false;
        frozen = false;
        deferred.clear();
        onKilled();
    }

    void restart() {
        if (alive) {
            kill();
        }
        alive = true;
        incarnation++;
        onStarted();
    }

    void freeze() {
        frozen = alive;
    }

    void resume() {
        frozen = false;
        List<Runnable> backlog = List.copyOf(deferred);
        deferred.clear();
        backlog.forEach(this::runOrDefer);
    }

    /** Reports a step and returns whether a fault injected there killed or restarted this process. */
    boolean endedByFaultAt(Simulation simulation, Step step) {
        long before = starts();
        simulation.reached(step);
        return !alive || starts() != before;
    }

    /** Returns the number of starts; unlike {@link #incarnation} it is not overridden by a mutation. */
    final long starts() {
        return incarnation;
    }

    /** Closes connections and clears the state in memory. */
    abstract void onKilled();

    /** Creates the state of a new incarnation. */
    abstract void onStarted();
}
