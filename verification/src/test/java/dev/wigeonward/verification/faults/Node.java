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

    /** Runs code now, or when the node continues. */
    void runOrKeep(Runnable code) {
        if (frozen) {
            kept.add(code);
            return;
        }
        code.run();
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

    abstract void lost();

    abstract void started();
}
