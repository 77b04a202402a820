package dev.wigeonward.verification.faults;

import java.util.List;
import java.util.Optional;

import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;
import dev.wigeonward.core.request.WorkEstimate;

/** Workload of a simulation run. Callers of requests with an idempotency key resend them at fixed delays. */
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

    /** Returns whether requests of this flow reach the step. */
    boolean reaches(Step step) {
        boolean claims = List.of(Step.CLAIM_SENT, Step.CLAIM_APPLIED, Step.CLAIM_ANSWERED, Step.OUTCOME_RECORDED)
                .contains(step);
        boolean shutdown = this == ENTRY_SHUTDOWN || this == AGENT_SHUTDOWN;
        return (!claims || !idempotent) && (step != Step.DRAIN_STARTED || shutdown);
    }

    /**
     * Runs the flow to its end. Flows with a key run for 690 s: their last resend comes at 650 s, after the 10 minutes
     * for which agents keep outcomes.
     */
    void simulate(Simulation simulation) {
        simulation.agents.forEach(agent -> agent.upstream.partMillis = partMillis);
        EntryNode first = simulation.entry(0);
        for (int i = 0; i < 3; i++) {
            first.call(background(first, 100 + i, Tier.STANDARD, simulation.now() + DEADLINE_MILLIS));
            simulation
                    .entry(1)
                    .call(background(simulation.entry(1), 200 + i, Tier.BATCH, simulation.now() + DEADLINE_MILLIS));
        }
        first.call(subject(first, simulation.now()));
        if (keyed) {
            for (int i = 0; i < RESENDS_MILLIS.size(); i++) {
                EntryNode entry = simulation.entry((i + 1) % 2);
                simulation.after(RESENDS_MILLIS.get(i), () -> entry.call(subject(entry, simulation.now())));
            }
        }
        if (this == ENTRY_SHUTDOWN) {
            simulation.after(250, first, first::shutDown);
        } else if (this == AGENT_SHUTDOWN) {
            AgentNode agent = simulation.agents.get(0);
            simulation.after(250, agent, agent::shutDown);
            for (int i = 0; i < 40; i++) {
                EntryNode entry = simulation.entry(i % 2);
                int number = 300 + i;
                simulation.after(
                        200L * i,
                        () -> entry.call(background(entry, number, Tier.STANDARD, simulation.now() + DEADLINE_MILLIS)));
            }
        }
        simulation.runFor(keyed ? 690_000 : 60_000);
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
