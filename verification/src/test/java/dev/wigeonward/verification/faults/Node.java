package dev.wigeonward.verification.faults;

import java.util.ArrayList;
import java.util.List;

/** A process that can be killed, started with empty memory, and frozen. */
abstract class Node {
    private final String id;
    private final List<Runnable> kept = new ArrayList<>();
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

    /** Runs code now, or when the node continues; never if it is down. */
    void runOrKeep(Runnable code) {
        if (frozen) {
            kept.add(code);
        } else if (alive) {
            code.run();
        }
    }

    void kill() {
        alive = false;
        frozen = false;
        kept.clear();
        lost();
    }

    void restart() {
        if (alive) {
            kill();
        }
        alive = true;
        incarnation++;
        started();
    }

    void freeze() {
        frozen = alive;
    }

    void resume() {
        frozen = false;
        List<Runnable> backlog = List.copyOf(kept);
        kept.clear();
        backlog.forEach(this::runOrKeep);
    }

    /** Reports a step and returns whether the fault that was injected there ended this process. */
    boolean endsAt(World world, Step step) {
        long before = starts();
        world.reached(step);
        return !alive || starts() != before;
    }

    /** Returns the number of starts, which tells incarnations apart also where a mutation hides them. */
    final long starts() {
        return incarnation;
    }

    abstract void lost();

    abstract void started();
}
