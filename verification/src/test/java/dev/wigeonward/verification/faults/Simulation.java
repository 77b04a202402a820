package dev.wigeonward.verification.faults;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** One simulation run: two entries and three agents with upstreams, connected by a network, and a store. */
final class Simulation extends EventScheduler {
    static final long LATENCY_MILLIS = 1;
    private static final long TICK_MILLIS = 50;
    /** Ticks are rarer after this time, since only retention times are left to expire. */
    private static final long BUSY_MILLIS = 60_000;

    final EventLog log = new EventLog();
    final Random random;
    final Network network;
    final FakeStore store;
    final List<EntryNode> entries = new ArrayList<>();
    final List<AgentNode> agents = new ArrayList<>();
    /** The agent to which a request was dispatched last. */
    AgentNode lastDispatchedAgent;

    private final Map<Step, Runnable> hooks = new EnumMap<>(Step.class);

    Simulation(long seed, Mutation mutation) {
        random = new Random(seed);
        network = new Network(this);
        store = new FakeStore(this, mutation);
        for (int i = 1; i <= 2; i++) {
            entries.add(new EntryNode(this, "e" + i));
        }
        for (int i = 1; i <= 3; i++) {
            agents.add(new AgentNode(this, "a" + i, mutation));
        }
        for (EntryNode entry : entries) {
            entry.start();
        }
        lastDispatchedAgent = agents.get(0);
        runFor(100);
    }

    long tickMillis() {
        return now() < BUSY_MILLIS ? TICK_MILLIS : 20 * TICK_MILLIS;
    }

    /** Schedules code on a node. It is deferred while the node is frozen and dropped if the node was restarted. */
    void after(long delayMillis, Node node, Runnable code) {
        long incarnation = node.incarnation();
        after(delayMillis, () -> {
            if (node.alive() && node.incarnation() == incarnation) {
                node.runOrDefer(code);
            }
        });
    }

    /** Registers code that runs when the flow first reaches a step, before the step takes effect. */
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
