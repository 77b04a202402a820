package dev.wigeonward.verification.faults;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;

/** Replays random traces of the actions of Dispatch.tla on the real cores. */
class RandomTraceTest {
    private static final Step[] STEPS = Step.values();
    private static final Fault[] FAULTS = Fault.values();

    /** Guards against sequences of more than two faults that break an invariant. */
    @Property(tries = 150, seed = "20261204")
    void randomTracesKeepTheInvariants(
            @ForAll @IntRange(max = 5) int flow,
            @ForAll @Size(min = 1, max = 6) List<@IntRange(max = 9_999) Integer> choices,
            @ForAll @IntRange(max = 9_999) int seed) {
        World world = new World(seed, Guards.ALL);
        for (int choice : choices) {
            Fault fault = FAULTS[choice % FAULTS.length];
            if (choice % 2 == 0) {
                world.at(STEPS[choice / 2 % STEPS.length], () -> fault.inject(world));
            } else {
                world.after(choice, () -> fault.inject(world));
            }
        }
        Flow.values()[flow].play(world);
        assertThat(InvariantChecks.violations(world.ledger))
                .as("%s, choices %s, seed %d", Flow.values()[flow], choices, seed)
                .isEmpty();
    }
}
