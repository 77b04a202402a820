package dev.wigeonward.verification.faults;

import java.util.function.BiConsumer;

import dev.wigeonward.core.request.Tier;

/** Fault that can be injected at a step. It affects entry 0 and the agent to which a request was dispatched last. */
enum Fault {
    NONE((simulation, agent) -> {}),
    ENTRY_KILLED((simulation, agent) -> restartLater(simulation, simulation.entry(0), 3_000)),
    AGENT_KILLED((simulation, agent) -> restartLater(simulation, agent, 3_000)),
    AGENT_REPLACED((simulation, agent) -> agent.restart()),
    ENTRY_FROZEN((simulation, agent) -> pause(simulation, simulation.entry(0), 1_500)),
    ENTRY_PAUSED_PAST_LEASE((simulation, agent) -> pause(simulation, simulation.entry(0), 12_000)),
    AGENT_FROZEN((simulation, agent) -> pause(simulation, agent, 1_500)),
    AGENT_PAUSED_PAST_LEASE((simulation, agent) -> pause(simulation, agent, 12_000)),
    LINK_CUT((simulation, agent) -> cut(simulation, agent, 0)),
    LINK_CUT_FOR_LONG((simulation, agent) -> cut(simulation, agent, 5_500)),
    LINK_SILENT((simulation, agent) -> silence(simulation, agent, true, true)),
    LINK_HALF_OPEN_TO_AGENT((simulation, agent) -> silence(simulation, agent, true, false)),
    LINK_HALF_OPEN_TO_ENTRY((simulation, agent) -> silence(simulation, agent, false, true)),
    FRAMES_LATE((simulation, agent) -> simulation.network.linksOf(agent).forEach(link -> link.lateMillis = 3_000)),
    FRAMES_CROSSED((simulation, agent) -> simulation.network.linksOf(agent).forEach(link -> link.reordered = true)),
    FRAMES_DUPLICATED((simulation, agent) -> simulation.network.linksOf(agent).forEach(link -> link.duplicates = true)),
    UPSTREAM_SLOW((simulation, agent) -> agent.upstream.partMillis = 3_000),
    UPSTREAM_FAILING((simulation, agent) -> agent.upstream.failing = true),
    UPSTREAM_CRASHED((simulation, agent) -> agent.upstream.crash()),
    POISON((simulation, agent) ->
            simulation.agents.forEach(each -> each.upstream.poisonFingerprint = Flow.FINGERPRINT)),
    BURST((simulation, agent) -> burst(simulation)),
    STORE_DOWN((simulation, agent) -> {
        simulation.store.down = true;
        simulation.after(5_000, () -> simulation.store.down = false);
    }),
    STORE_SLOW((simulation, agent) -> {
        simulation.store.slowMillis = 700;
        simulation.after(5_000, () -> simulation.store.slowMillis = 0);
    }),
    STORE_REPLIES_LOST((simulation, agent) -> {
        simulation.store.repliesLost = true;
        simulation.after(5_000, () -> simulation.store.repliesLost = false);
    }),
    FAILURE_DOMAIN_LOST((simulation, agent) -> {
        restartLater(simulation, simulation.entry(0), 4_000);
        restartLater(simulation, agent, 6_000);
    });

    private static final int BURST_REQUESTS = 60;

    private final BiConsumer<Simulation, AgentNode> effect;

    Fault(BiConsumer<Simulation, AgentNode> effect) {
        this.effect = effect;
    }

    void inject(Simulation simulation) {
        effect.accept(simulation, simulation.lastDispatchedAgent);
    }

    private static void restartLater(Simulation simulation, Node node, long millis) {
        if (!node.alive()) {
            return;
        }
        node.kill();
        simulation.after(millis, node::restart);
    }

    private static void pause(Simulation simulation, Node node, long millis) {
        node.freeze();
        simulation.after(millis, node::resume);
    }

    private static void cut(Simulation simulation, AgentNode agent, long blockedMillis) {
        simulation.network.block(simulation.entry(0), agent, blockedMillis);
        Network.Link link = simulation.network.link(simulation.entry(0), agent.id());
        if (link != null) {
            simulation.network.cut(link);
        }
    }

    private static void silence(Simulation simulation, AgentNode agent, boolean toAgent, boolean toEntry) {
        simulation.network.linksOf(agent).forEach(link -> {
            link.toAgentSilent |= toAgent;
            link.toEntrySilent |= toEntry;
        });
    }

    private static void burst(Simulation simulation) {
        for (int i = 0; i < BURST_REQUESTS; i++) {
            EntryNode entry = simulation.entry(i % 2);
            Tier tier = Tier.values()[i % Tier.values().length];
            entry.call(Flow.background(entry, 1_000 + i, tier, simulation.now() + 20_000));
        }
    }
}
