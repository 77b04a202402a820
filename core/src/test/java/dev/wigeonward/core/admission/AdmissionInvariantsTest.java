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
    void tiersAreOrderedAndCapacityHolds(@ForAll("steps") List<AdmissionChecks.Step> steps) {
        AdmissionChecks.checkTierOrderAndCapacity(queue(AdmissionChecks.CAPACITY), steps);
    }

    /** Guards against a check of the tier order that cannot fail. */
    @Example
    void checkFailsForQueueThatIgnoresTiers() {
        assertFailsForSome(steps -> AdmissionChecks.checkTierOrderAndCapacity(
                RewritingQueue.ignoringTiers(queue(AdmissionChecks.CAPACITY)), steps));
    }

    /** Guards against a check of the capacity that cannot fail. */
    @Example
    void checkFailsForQueueWithHigherCapacity() {
        assertFailsForSome(
                steps -> AdmissionChecks.checkTierOrderAndCapacity(queue(AdmissionChecks.CAPACITY + 1), steps));
    }

    /**
     * Guards against a workspace that is locked out of a full queue or waits behind the whole backlog of another one.
     */
    @Property(tries = 100)
    void noWorkspaceStarves(
            @ForAll @IntRange(min = 1, max = 3) int heavyWorkspaces,
            @ForAll @IntRange(min = 1, max = 10_000) int heavyMillis) {
        AdmissionChecks.checkNoStarvation(queue(AdmissionChecks.CAPACITY), heavyWorkspaces, heavyMillis);
    }

    /** Guards against a check of starvation that cannot fail. */
    @Example
    void checkFailsForQueueThatIgnoresWorkspaces() {
        assertThatThrownBy(() -> AdmissionChecks.checkNoStarvation(
                        RewritingQueue.ignoringWorkspaces(queue(AdmissionChecks.CAPACITY)), 2, 100))
                .isInstanceOf(AssertionError.class);
    }

    @Provide
    Arbitrary<List<AdmissionChecks.Step>> steps() {
        return AdmissionChecks.steps();
    }

    private static AdmissionQueue queue(int capacity) {
        return FairShareAdmissionQueue.create(capacity, WorkspaceWeights.equal());
    }

    private static void assertFailsForSome(Consumer<List<AdmissionChecks.Step>> check) {
        assertThat(AdmissionChecks.steps().sampleStream().limit(MUTATION_TRIES))
                .anySatisfy(
                        steps -> assertThatThrownBy(() -> check.accept(steps)).isInstanceOf(AssertionError.class));
    }
}
