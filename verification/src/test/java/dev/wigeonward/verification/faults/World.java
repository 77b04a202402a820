package dev.wigeonward.verification.faults;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** The nodes, links, store and upstreams of one run. */
final class World extends Timeline {
    static final long LATENCY_MILLIS = 1;
    private static final long TICK_MILLIS = 50;
    /** Nothing but retention times is left to pass after that, so ticks may be rare. */
    private static final long BUSY_MILLIS = 60_000;

    final Ledger ledger = new Ledger();
    final Random random;
    final Network network;
    final FakeStore store;
    final List<EntryNode> entries = new ArrayList<>();
    final List<AgentNode> agents = new ArrayList<>();
    /** The agent to which a frame was dispatched last. */
    AgentNode lastAgent;

    private final Map<Step, Runnable> hooks = new EnumMap<>(Step.class);

    World(long seed, Guards guards) {
        random = new Random(seed);
        network = new Network(this);
        store = new FakeStore(this, guards);
        for (int i = 1; i <= 2; i++) {
            entries.add(new EntryNode(this, "e" + i));
        }
        for (int i = 1; i <= 3; i++) {
            agents.add(new AgentNode(this, "a" + i, guards));
        }
        for (EntryNode entry : entries) {
            entry.start();
        }
        lastAgent = agents.get(0);
        runFor(100);
    }

    long tickMillis() {
        return now() < BUSY_MILLIS ? TICK_MILLIS : 20 * TICK_MILLIS;
    }

    /** Runs code on a node: later if the node is frozen, and never if it was replaced in the meantime. */
    void after(long delayMillis, Node node, Runnable code) {
        long incarnation = node.incarnation();
        after(delayMillis, () -> {
            if (node.alive() && node.incarnation() == incarnation) {
                node.runOrKeep(code);
            }
        });
    }

    /** Carries out code when a flow first reaches a step, before the step takes effect. */
    void at(Step step, Runnable code) {
        hooks.put(step, code);
    }

    void reached(Step step) {
        Runnable hook = hooks.remove(step);
        if (hook != null) {
            hook.run();
        }
    }

    EntryNode entry(int index) {
        return entries.get(index);
    }

    AgentNode agent(String id) {
        return agents.stream()
                .filter(agent -> agent.id().equals(id))
                .findFirst()
                .orElseThrow();
    }
}
