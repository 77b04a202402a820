package dev.wigeonward.verification.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Links between entries and agents. A frame is the code that its receiver runs. */
final class Network {
    /** Time without a frame after which an endpoint gives a link up. */
    static final long SILENCE_MILLIS = 2_500;

    private static final long HEARTBEAT_MILLIS = 1_000;
    private static final long RECONNECT_MILLIS = 100;

    private final World world;
    private final Map<String, Link> current = new HashMap<>();
    private final List<Link> all = new ArrayList<>();
    private long lastLink;
    private final Map<String, Long> blockedUntil = new HashMap<>();
    private final Map<String, Long> lostAtMillis = new HashMap<>();

    Network(World world) {
        this.world = world;
    }

    /** One connection with its faults. */
    static final class Link {
        final long id;
        final EntryNode entry;
        final AgentNode agent;
        boolean entryOpen;
        boolean agentOpen;
        boolean toAgentSilent;
        boolean toEntrySilent;
        boolean duplicates;
        boolean crossed;
        long lateMillis;
        long entryHeardMillis;
        long agentHeardMillis;
        final long agentIncarnation;
        final long entryIncarnation;
        private final List<Runnable> held = new ArrayList<>();

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
        blockedUntil.put(entry.id() + agent.id(), world.now() + millis);
    }

    /** Opens a link and keeps trying while the entry's incarnation lives. */
    void open(EntryNode entry, AgentNode agent) {
        boolean blocked = blockedUntil.getOrDefault(entry.id() + agent.id(), 0L) > world.now();
        if (!agent.running() || blocked) {
            world.after(RECONNECT_MILLIS, entry, () -> open(entry, agent));
            return;
        }
        Link link = new Link(++lastLink, entry, agent);
        all.add(link);
        link.agentOpen = true;
        link.agentHeardMillis = world.now();
        watchAgentEnd(link);
        world.after(2 * World.LATENCY_MILLIS, entry, () -> {
            link.entryOpen = true;
            link.entryHeardMillis = world.now();
            current.put(entry.id() + agent.id(), link);
            entry.linkUp(agent, link.agentIncarnation);
            watchEntryEnd(link);
        });
    }

    private void watchAgentEnd(Link link) {
        world.after(HEARTBEAT_MILLIS, link.agent, () -> {
            if (!link.agentOpen) {
                return;
            }
            if (world.now() - link.agentHeardMillis > SILENCE_MILLIS) {
                closeAgentEnd(link);
                return;
            }
            toEntry(link, () -> {});
            watchAgentEnd(link);
        });
    }

    private void watchEntryEnd(Link link) {
        world.after(HEARTBEAT_MILLIS, link.entry, () -> {
            if (!link.entryOpen) {
                return;
            }
            if (world.now() - link.entryHeardMillis > SILENCE_MILLIS) {
                closeEntryEnd(link);
                return;
            }
            toAgent(link, () -> {});
            watchEntryEnd(link);
        });
    }

    /** Returns whether the agent has had no link to the entry for at least the given time. */
    boolean awayFor(String entryId, AgentNode agent, long millis) {
        boolean linked = linksOf(agent).stream()
                .anyMatch(link -> link.agentOpen && link.entry.id().equals(entryId));
        return !linked && world.now() - lostAtMillis.getOrDefault(entryId + agent.id(), 0L) >= millis;
    }

    void closeAgentEnd(Link link) {
        if (link.agentOpen) {
            link.agentOpen = false;
            lostAtMillis.put(link.entry.id() + link.agent.id(), world.now());
            if (link.agent.alive() && link.agent.incarnation() == link.agentIncarnation) {
                link.agent.runOrKeep(() -> link.agent.linkLost(link));
            }
        }
    }

    void closeEntryEnd(Link link) {
        if (link.entryOpen) {
            link.entryOpen = false;
            if (link.entry.alive() && link.entry.incarnation() == link.entryIncarnation) {
                link.entry.runOrKeep(() -> {
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

    /** The node's connections end; its peers notice at once. */
    void cutAll(Node node) {
        linksOf(node).forEach(link -> world.after(World.LATENCY_MILLIS, () -> cut(link)));
    }

    void toAgent(Link link, Runnable frame) {
        if (link == null || !link.entryOpen || link.toAgentSilent) {
            return;
        }
        transmit(link, link.agent, () -> {
            link.agentHeardMillis = world.now();
            frame.run();
        });
    }

    void toEntry(Link link, Runnable frame) {
        if (link == null || !link.agentOpen || link.toEntrySilent) {
            return;
        }
        transmit(link, link.entry, () -> {
            link.entryHeardMillis = world.now();
            frame.run();
        });
    }

    /** Frames that were sent arrive whatever becomes of the link later, so that a late copy can meet a new link. */
    private void transmit(Link link, Node receiver, Runnable frame) {
        long delayMillis = World.LATENCY_MILLIS + link.lateMillis;
        Runnable delivery = () -> deliver(receiver, frame);
        if (link.crossed && link.held.isEmpty()) {
            link.held.add(delivery);
            world.after(delayMillis + 20, () -> release(link));
            return;
        }
        world.after(delayMillis, delivery);
        if (link.duplicates) {
            world.after(delayMillis + 1 + world.random.nextInt(3_000), delivery);
        }
    }

    private static void release(Link link) {
        List<Runnable> frames = List.copyOf(link.held);
        link.held.clear();
        frames.forEach(Runnable::run);
    }

    private static void deliver(Node receiver, Runnable frame) {
        if (receiver.alive()) {
            receiver.runOrKeep(frame);
        }
    }
}
