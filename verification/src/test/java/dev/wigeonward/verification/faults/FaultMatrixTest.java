package dev.wigeonward.verification.faults;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Injects each fault at each step of each flow, and each pair of faults at one step of each flow. */
@Execution(ExecutionMode.CONCURRENT)
class FaultMatrixTest {
    private static final long SEED = 20_261_204;
    private static final int[] SECOND_FAULT_DELAYS_MILLIS = {0, 700, 5_200};

    /** Guards against a fault that breaks an invariant when it occurs at a particular step of a flow. */
    @ParameterizedTest(name = "{0} with {1}")
    @MethodSource("flowsAndFaults")
    void singleFaultAtEveryStepKeepsTheInvariants(Flow flow, Fault fault) {
        for (Step step : Step.values()) {
            if (flow.reaches(step)) {
                check(flow, fault, step, Fault.NONE, 0);
            }
        }
    }

    static Stream<Arguments> flowsAndFaults() {
        return Arrays.stream(Flow.values())
                .flatMap(flow -> Arrays.stream(Fault.values()).map(fault -> Arguments.of(flow, fault)));
    }

    /** Guards against a second fault that occurs before the system has recovered from the first one. */
    @ParameterizedTest(name = "{0} with {1}")
    @MethodSource("flowsAndFaults")
    void twoFaultsTogetherKeepTheInvariants(Flow flow, Fault first) {
        for (Fault second : Fault.values()) {
            int combination = 31 * first.ordinal() + second.ordinal();
            List<Step> steps =
                    Arrays.stream(Step.values()).filter(flow::reaches).toList();
            Step step = steps.get(combination % steps.size());
            check(
                    flow,
                    first,
                    step,
                    second,
                    SECOND_FAULT_DELAYS_MILLIS[combination % SECOND_FAULT_DELAYS_MILLIS.length]);
        }
    }

    private static void check(Flow flow, Fault first, Step step, Fault second, int delayMillis) {
        long seed = SEED + 1_000L * first.ordinal() + step.ordinal();
        Simulation simulation = new Simulation(seed, Mutation.NONE);
        simulation.at(step, () -> {
            first.inject(simulation);
            simulation.after(delayMillis, () -> second.inject(simulation));
        });
        flow.simulate(simulation);
        assertThat(InvariantChecks.violations(simulation.log))
                .as("%s, %s at %s, then %s after %d ms, seed %d", flow, first, step, second, delayMillis, seed)
                .isEmpty();
    }
}
