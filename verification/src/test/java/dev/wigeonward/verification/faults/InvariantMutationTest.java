package dev.wigeonward.verification.faults;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Verifies the check of each dispatch invariant: it passes without a mutation and fails with one. */
class InvariantMutationTest {
    @ParameterizedTest(name = "invariant {0}: {1}")
    @CsvSource({
        "1, NO_SINGLE_SUBMIT, REQUEST, FRAMES_DUPLICATED, DISPATCH_SENT",
        "1, RESTART_KEEPS_INCARNATION, STREAM, AGENT_REPLACED, OUTPUT_SENT",
        "2, QUEUE_WITHOUT_TIERS, REQUEST, BURST, ARRIVED",
        "4, FOREIGN_OUTPUT, REQUEST, NONE, ARRIVED",
        "5, FALSE_NOT_RUN, STREAM, UPSTREAM_FAILING, SUBMITTED",
        "6, STORE_WITHOUT_COMPARE, NON_IDEMPOTENT, NONE, ARRIVED",
        "7, SILENT_DEPARTURE, AGENT_SHUTDOWN, NONE, ARRIVED",
        "8, HASTY_SHUTDOWN, AGENT_SHUTDOWN, NONE, ARRIVED"
    })
    void checkFailsWithoutTheGuard(int invariant, Mutation mutation, Flow flow, Fault fault, Step step) {
        assertThat(simulate(Mutation.NONE, flow, fault, step)).isEmpty();
        assertThat(simulate(mutation, flow, fault, step)).anyMatch(violation -> violation.startsWith(invariant + ":"));
    }

    private static List<String> simulate(Mutation mutation, Flow flow, Fault fault, Step step) {
        Simulation simulation = new Simulation(1, mutation);
        simulation.at(step, () -> fault.inject(simulation));
        flow.simulate(simulation);
        return InvariantChecks.violations(simulation.log);
    }
}
