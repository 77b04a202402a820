package dev.wigeonward.core.admission;

import java.util.List;
import java.util.function.Consumer;

import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class AdmissionInvariantsTest {
    private static final int MUTATION_TRIES = 300;

    /** Guards against displacing or delaying a higher tier in favor of a lower one, and against an unbounded queue. */
    @Property(tries = 500)
    void tiersAreOrderedAndCapacityHolds(@ForAll("steps") List<AdmissionInvariants.Step> steps) {
        AdmissionInvariants.checkTierOrderAndCapacity(queue(AdmissionInvariants.CAPACITY), steps);
    }

    /** Guards against a check of the tier order that cannot fail. */
    @Example
    void checkFailsForQueueThatIgnoresTiers() {
        assertFailsForSome(steps -> AdmissionInvariants.checkTierOrderAndCapacity(
                RewritingQueue.ignoringTiers(queue(AdmissionInvariants.CAPACITY)), steps));
    }

    /** Guards against a check of the capacity that cannot fail. */
    @Example
    void checkFailsForQueueWithHigherCapacity() {
        assertFailsForSome(
                steps -> AdmissionInvariants.checkTierOrderAndCapacity(queue(AdmissionInvariants.CAPACITY + 1), steps));
    }

    /**
     * Guards against a workspace that is locked out of a full queue or waits behind all requests of another one.
     */
    @Property(tries = 100)
    void noWorkspaceStarves(
            @ForAll @IntRange(min = 1, max = 3) int heavyWorkspaces,
            @ForAll @IntRange(min = 1, max = 10_000) int heavyMillis) {
        AdmissionInvariants.checkNoStarvation(queue(AdmissionInvariants.CAPACITY), heavyWorkspaces, heavyMillis);
    }

    /** Guards against a check of starvation that cannot fail. */
    @Example
    void checkFailsForQueueThatIgnoresWorkspaces() {
        assertThatThrownBy(() -> AdmissionInvariants.checkNoStarvation(
                        RewritingQueue.ignoringWorkspaces(queue(AdmissionInvariants.CAPACITY)), 2, 100))
                .isInstanceOf(AssertionError.class);
    }

    @Provide
    Arbitrary<List<AdmissionInvariants.Step>> steps() {
        return AdmissionInvariants.steps();
    }

    private static AdmissionQueue queue(int capacity) {
        return FairShareAdmissionQueue.create(capacity, WorkspaceWeights.equal());
    }

    private static void assertFailsForSome(Consumer<List<AdmissionInvariants.Step>> check) {
        assertThat(AdmissionInvariants.steps().sampleStream().limit(MUTATION_TRIES))
                .anySatisfy(
                        steps -> assertThatThrownBy(() -> check.accept(steps)).isInstanceOf(AssertionError.class));
    }
}
