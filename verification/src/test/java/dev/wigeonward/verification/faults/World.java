package dev.wigeonward.verification.faults;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/** A paused clock with scheduled actions, and the nodes, links, store and upstreams of one run. */
final class World {
    static final long LATENCY_MILLIS = 1;
    static final long TICK_MILLIS = 50;

    final Ledger ledger = new Ledger();
    final Random random;
    final Network network;
    final FakeStore store;
    final List<EntryNode> entries = new ArrayList<>();
    final List<AgentNode> agents = new ArrayList<>();
    /** The agent to which a frame was dispatched last. */
    AgentNode lastAgent;

    private final PriorityQueue<Action> actions =
            new PriorityQueue<>(Comparator.comparingLong(Action::atMillis).thenComparingLong(Action::sequence));
    private final Map<Step, Runnable> hooks = new EnumMap<>(Step.class);
    private long nowMillis = 1_000;
    private long sequence;

    private record Action(long atMillis, long sequence, Runnable code) {}

    World(long seed, Guards guards) {
        random = new Random(seed);
        network = new Network(this);
        store = new FakeStore(this);
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

    long now() {
        return nowMillis;
    }

    void after(long delayMillis, Runnable code) {
        actions.add(new Action(nowMillis + delayMillis, sequence++, code));
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

    void runFor(long durationMillis) {
        long endMillis = nowMillis + durationMillis;
        while (!actions.isEmpty() && actions.peek().atMillis() <= endMillis) {
            Action next = actions.poll();
            nowMillis = next.atMillis();
            next.code().run();
        }
        nowMillis = endMillis;
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
