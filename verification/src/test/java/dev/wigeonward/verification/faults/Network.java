package dev.wigeonward.verification.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Simulated links between entries and agents. A frame is code that runs on the receiver. */
final class Network {
    /** Time without a frame after which an endpoint closes a link. */
    static final long SILENCE_MILLIS = 2_500;

    private static final long HEARTBEAT_MILLIS = 1_000;
    private static final long RECONNECT_MILLIS = 100;

    private final Simulation simulation;
    private final Map<String, Link> current = new HashMap<>();
    private final List<Link> all = new ArrayList<>();
    private long lastLink;
    private final Map<String, Long> blockedUntil = new HashMap<>();
    private final Map<String, Long> lostAtMillis = new HashMap<>();

    Network(Simulation simulation) {
        this.simulation = simulation;
    }

    /** Connection between an entry and an agent, with the faults injected into it. */
    static final class Link {
        final long id;
        final EntryNode entry;
        final AgentNode agent;
        boolean entryOpen;
        boolean agentOpen;
        boolean toAgentSilent;
        boolean toEntrySilent;
        boolean duplicates;
        boolean reordered;
        long lateMillis;
        long entryHeardMillis;
        long agentHeardMillis;
        final long agentIncarnation;
        final long entryIncarnation;
        private final List<Runnable> heldFrames = new ArrayList<>();

        Link(long id, EntryNode entry, AgentNode agent) {
            this.id = id;
            this.entry = entry;
            this.agent = agent;
            this.agentIncarnation = agent.incarnation();
            this.entryIncarnation = entry.incarnation();
        }
    }

    List<Link> linksOf(Node node) {
        return all.stream()
                .filter(link -> (link.entry == node || link.agent == node) && (link.entryOpen || link.agentOpen))
                .toList();
    }

    Link link(EntryNode entry, String agentId) {
        return current.get(entry.id() + agentId);
    }

    void block(EntryNode entry, AgentNode agent, long millis) {
        blockedUntil.put(entry.id() + agent.id(), simulation.now() + millis);
    }

    /** Opens a link, retrying for as long as this incarnation of the entry is alive. */
    void open(EntryNode entry, AgentNode agent) {
        boolean blocked = blockedUntil.getOrDefault(entry.id() + agent.id(), 0L) > simulation.now();
        if (!agent.running() || blocked) {
            simulation.after(RECONNECT_MILLIS, entry, () -> open(entry, agent));
            return;
        }
        Link link = new Link(++lastLink, entry, agent);
        all.add(link);
        link.agentOpen = true;
        link.agentHeardMillis = simulation.now();
        watchAgentEnd(link);
        simulation.after(2 * Simulation.LATENCY_MILLIS, entry, () -> {
            link.entryOpen = true;
            link.entryHeardMillis = simulation.now();
            current.put(entry.id() + agent.id(), link);
            entry.linkUp(agent, link.agentIncarnation);
            watchEntryEnd(link);
        });
    }

    private void watchAgentEnd(Link link) {
        simulation.after(HEARTBEAT_MILLIS, link.agent, () -> {
            if (!link.agentOpen) {
                return;
            }
            if (simulation.now() - link.agentHeardMillis > SILENCE_MILLIS) {
                closeAgentEnd(link);
                return;
            }
            toEntry(link, () -> {});
            watchAgentEnd(link);
        });
    }

    private void watchEntryEnd(Link link) {
        simulation.after(HEARTBEAT_MILLIS, link.entry, () -> {
            if (!link.entryOpen) {
                return;
            }
            if (simulation.now() - link.entryHeardMillis > SILENCE_MILLIS) {
                closeEntryEnd(link);
                return;
            }
            toAgent(link, () -> {});
            watchEntryEnd(link);
        });
    }

    /** Returns whether the agent has had no link to the entry for at least the given time. */
    boolean disconnectedFor(String entryId, AgentNode agent, long millis) {
        boolean linked = linksOf(agent).stream()
                .anyMatch(link -> link.agentOpen && link.entry.id().equals(entryId));
        return !linked && simulation.now() - lostAtMillis.getOrDefault(entryId + agent.id(), 0L) >= millis;
    }

    void closeAgentEnd(Link link) {
        if (link.agentOpen) {
            link.agentOpen = false;
            lostAtMillis.put(link.entry.id() + link.agent.id(), simulation.now());
            if (link.agent.alive() && link.agent.incarnation() == link.agentIncarnation) {
                link.agent.runOrDefer(() -> link.agent.linkLost(link));
            }
        }
    }

    void closeEntryEnd(Link link) {
        if (link.entryOpen) {
            link.entryOpen = false;
            if (link.entry.alive() && link.entry.incarnation() == link.entryIncarnation) {
                link.entry.runOrDefer(() -> {
                    link.entry.linkDown(link.agent);
                    open(link.entry, link.agent);
                });
            }
        }
    }

    void cut(Link link) {
        closeAgentEnd(link);
        closeEntryEnd(link);
    }

    /** Closes both ends of all links of a node after one network latency. */
    void cutAll(Node node) {
        linksOf(node).forEach(link -> simulation.after(Simulation.LATENCY_MILLIS, () -> cut(link)));
    }

    void toAgent(Link link, Runnable frame) {
        if (link == null || !link.entryOpen || link.toAgentSilent) {
            return;
        }
        transmit(link, link.agent, () -> {
            link.agentHeardMillis = simulation.now();
            frame.run();
        });
    }

    void toEntry(Link link, Runnable frame) {
        if (link == null || !link.agentOpen || link.toEntrySilent) {
            return;
        }
        transmit(link, link.entry, () -> {
            link.entryHeardMillis = simulation.now();
            frame.run();
        });
    }

    /** Delivers a frame even if the link is closed meanwhile, so that a late copy can arrive after a reconnect. */
    private void transmit(Link link, Node receiver, Runnable frame) {
        long delayMillis = Simulation.LATENCY_MILLIS + link.lateMillis;
        Runnable delivery = () -> deliver(receiver, frame);
        if (link.reordered && link.heldFrames.isEmpty()) {
            link.heldFrames.add(delivery);
            simulation.after(delayMillis + 20, () -> release(link));
            return;
        }
        simulation.after(delayMillis, delivery);
        if (link.duplicates) {
            simulation.after(delayMillis + 1 + simulation.random.nextInt(3_000), delivery);
        }
    }

    private static void release(Link link) {
        List<Runnable> frames = List.copyOf(link.heldFrames);
        link.heldFrames.clear();
        frames.forEach(Runnable::run);
    }

    private static void deliver(Node receiver, Runnable frame) {
        if (receiver.alive()) {
            receiver.runOrDefer(frame);
        }
    }
}
