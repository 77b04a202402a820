package dev.wigeonward.verification.faults;

import java.util.function.BiConsumer;

import dev.wigeonward.core.request.Tier;

/** Faults that are injected at a step. The agent is the one that was last given the request. */
enum Fault {
    NONE((world, agent) -> {}),
    ENTRY_KILLED((world, agent) -> restartLater(world, world.entry(0), 3_000)),
    AGENT_KILLED((world, agent) -> restartLater(world, agent, 3_000)),
    AGENT_REPLACED((world, agent) -> agent.restart()),
    ENTRY_FROZEN((world, agent) -> pause(world, world.entry(0), 1_500)),
    ENTRY_PAUSED_PAST_LEASE((world, agent) -> pause(world, world.entry(0), 12_000)),
    AGENT_FROZEN((world, agent) -> pause(world, agent, 1_500)),
    AGENT_PAUSED_PAST_LEASE((world, agent) -> pause(world, agent, 12_000)),
    LINK_CUT((world, agent) -> cut(world, agent, 0)),
    LINK_CUT_FOR_LONG((world, agent) -> cut(world, agent, 5_500)),
    LINK_SILENT((world, agent) -> silence(world, agent, true, true)),
    LINK_HALF_OPEN_TO_AGENT((world, agent) -> silence(world, agent, true, false)),
    LINK_HALF_OPEN_TO_ENTRY((world, agent) -> silence(world, agent, false, true)),
    FRAMES_LATE((world, agent) -> world.network.linksOf(agent).forEach(link -> link.lateMillis = 3_000)),
    FRAMES_CROSSED((world, agent) -> world.network.linksOf(agent).forEach(link -> link.crossed = true)),
    FRAMES_DUPLICATED((world, agent) -> world.network.linksOf(agent).forEach(link -> link.duplicates = true)),
    UPSTREAM_SLOW((world, agent) -> agent.upstream.partMillis = 3_000),
    UPSTREAM_FAILING((world, agent) -> agent.upstream.failing = true),
    UPSTREAM_CRASHED((world, agent) -> agent.upstream.crash()),
    POISON((world, agent) -> world.agents.forEach(each -> each.upstream.poisonFingerprint = Flow.FINGERPRINT)),
    BURST((world, agent) -> burst(world)),
    STORE_DOWN((world, agent) -> {
        world.store.down = true;
        world.after(5_000, () -> world.store.down = false);
    }),
    STORE_SLOW((world, agent) -> {
        world.store.slowMillis = 700;
        world.after(5_000, () -> world.store.slowMillis = 0);
    }),
    STORE_REPLIES_LOST((world, agent) -> {
        world.store.repliesLost = true;
        world.after(5_000, () -> world.store.repliesLost = false);
    }),
    FAILURE_DOMAIN_LOST((world, agent) -> {
        restartLater(world, world.entry(0), 4_000);
        restartLater(world, agent, 6_000);
    });

    private static final int BURST_REQUESTS = 60;

    private final BiConsumer<World, AgentNode> effect;

    Fault(BiConsumer<World, AgentNode> effect) {
        this.effect = effect;
    }

    void inject(World world) {
        effect.accept(world, world.lastAgent);
    }

    private static void restartLater(World world, Node node, long millis) {
        if (!node.alive()) {
            return;
        }
        node.kill();
        world.after(millis, node::restart);
    }

    private static void pause(World world, Node node, long millis) {
        node.freeze();
        world.after(millis, node::resume);
    }

    private static void cut(World world, AgentNode agent, long blockedMillis) {
        world.network.block(world.entry(0), agent, blockedMillis);
        Network.Link link = world.network.link(world.entry(0), agent.id());
        if (link != null) {
            world.network.cut(link);
        }
    }

    private static void silence(World world, AgentNode agent, boolean toAgent, boolean toEntry) {
        world.network.linksOf(agent).forEach(link -> {
            link.toAgentSilent |= toAgent;
            link.toEntrySilent |= toEntry;
        });
    }

    private static void burst(World world) {
        for (int i = 0; i < BURST_REQUESTS; i++) {
            EntryNode entry = world.entry(i % 2);
            Tier tier = Tier.values()[i % Tier.values().length];
            entry.call(Flow.background(entry, 1_000 + i, tier, world.now() + 20_000));
        }
    }
}
