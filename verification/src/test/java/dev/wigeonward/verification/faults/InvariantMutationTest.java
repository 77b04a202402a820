package dev.wigeonward.verification.faults;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Shows for each invariant of the dispatch flows that its check fails once a guard is gone, and passes with it. */
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
    void checkFailsWithoutTheGuard(int invariant, Guards guards, Flow flow, Fault fault, Step step) {
        assertThat(play(Guards.ALL, flow, fault, step)).isEmpty();
        assertThat(play(guards, flow, fault, step)).anyMatch(violation -> violation.startsWith(invariant + ":"));
    }

    private static List<String> play(Guards guards, Flow flow, Fault fault, Step step) {
        World world = new World(1, guards);
        world.at(step, () -> fault.inject(world));
        flow.play(world);
        return InvariantChecks.violations(world.ledger);
    }
}
