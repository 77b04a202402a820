package dev.wigeonward.verification.faults;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;

/** Property test that injects random sequences of faults into flows of the production dispatchers. */
class RandomTraceTest {
    private static final Step[] STEPS = Step.values();
    private static final Fault[] FAULTS = Fault.values();

    /** Guards against an invariant that only a longer sequence of faults breaks; each try injects up to six. */
    @Property(tries = 150, seed = "20261204")
    void randomTracesKeepTheInvariants(
            @ForAll @IntRange(max = 5) int flow,
            @ForAll @Size(min = 1, max = 6) List<@IntRange(max = 9_999) Integer> choices,
            @ForAll @IntRange(max = 9_999) int seed) {
        Simulation simulation = new Simulation(seed, Mutation.NONE);
        for (int choice : choices) {
            Fault fault = FAULTS[choice % FAULTS.length];
            if (choice % 2 == 0) {
                simulation.at(STEPS[choice / 2 % STEPS.length], () -> fault.inject(simulation));
            } else {
                simulation.after(choice, () -> fault.inject(simulation));
            }
        }
        Flow.values()[flow].simulate(simulation);
        assertThat(InvariantChecks.violations(simulation.log))
                .as("%s, choices %s, seed %d", Flow.values()[flow], choices, seed)
                .isEmpty();
    }
}
