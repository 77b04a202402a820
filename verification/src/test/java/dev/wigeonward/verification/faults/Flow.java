package dev.wigeonward.verification.faults;

import java.util.List;
import java.util.Optional;

import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;
import dev.wigeonward.core.request.WorkEstimate;

/** What a caller does while faults happen. The callers of requests with a key send them again and again. */
enum Flow {
    REQUEST(false, true, 100),
    KEYED_REQUEST(true, true, 100),
    NON_IDEMPOTENT(true, false, 100),
    STREAM(false, true, 500),
    ENTRY_SHUTDOWN(false, true, 300),
    AGENT_SHUTDOWN(true, false, 300);

    static final long FINGERPRINT = 77;
    static final long DEADLINE_MILLIS = 20_000;
    private static final List<Long> RESENDS_MILLIS = List.of(200L, 2_000L, 9_000L, 18_000L, 650_000L);

    private final boolean keyed;
    private final boolean idempotent;
    private final long partMillis;

    Flow(boolean keyed, boolean idempotent, long partMillis) {
        this.keyed = keyed;
        this.idempotent = idempotent;
        this.partMillis = partMillis;
    }

    boolean passes(Step step) {
        boolean claims = List.of(Step.CLAIM_SENT, Step.CLAIM_APPLIED, Step.CLAIM_ANSWERED, Step.OUTCOME_RECORDED)
                .contains(step);
        boolean shutdown = this == ENTRY_SHUTDOWN || this == AGENT_SHUTDOWN;
        return (!claims || !idempotent) && (step != Step.DRAIN_STARTED || shutdown);
    }

    /** Plays the flow to its end; 11 minutes, since agents keep outcomes for 10, if resends go on for as long. */
    void play(World world) {
        world.agents.forEach(agent -> agent.upstream.partMillis = partMillis);
        EntryNode first = world.entry(0);
        for (int i = 0; i < 3; i++) {
            first.call(background(first, 100 + i, Tier.STANDARD, world.now() + DEADLINE_MILLIS));
            world.entry(1).call(background(world.entry(1), 200 + i, Tier.BATCH, world.now() + DEADLINE_MILLIS));
        }
        first.call(subject(first, world.now()));
        if (keyed) {
            for (int i = 0; i < RESENDS_MILLIS.size(); i++) {
                EntryNode entry = world.entry((i + 1) % 2);
                world.after(RESENDS_MILLIS.get(i), () -> entry.call(subject(entry, world.now())));
            }
        }
        if (this == ENTRY_SHUTDOWN) {
            world.after(250, first, first::shutDown);
        } else if (this == AGENT_SHUTDOWN) {
            AgentNode agent = world.agents.get(0);
            world.after(250, agent, agent::shutDown);
            for (int i = 0; i < 40; i++) {
                EntryNode entry = world.entry(i % 2);
                int number = 300 + i;
                world.after(
                        200L * i,
                        () -> entry.call(background(entry, number, Tier.STANDARD, world.now() + DEADLINE_MILLIS)));
            }
        }
        world.runFor(keyed ? 690_000 : 60_000);
    }

    private RequestSpec subject(EntryNode entry, long nowMillis) {
        return new RequestSpec(
                entry.nextId(),
                keyed ? Optional.of("key") : Optional.empty(),
                Tier.CRITICAL,
                "w1",
                AgentNode.TARGET,
                "route",
                new WorkEstimate(10, 10, 0),
                nowMillis + DEADLINE_MILLIS,
                idempotent,
                FINGERPRINT);
    }

    static RequestSpec background(EntryNode entry, long fingerprint, Tier tier, long deadlineMillis) {
        return new RequestSpec(
                entry.nextId(),
                Optional.empty(),
                tier,
                "w2",
                AgentNode.TARGET,
                "route",
                new WorkEstimate(10, 10, 0),
                deadlineMillis,
                true,
                fingerprint);
    }
}
