package dev.wigeonward.core.placement;

import java.util.List;

import org.junit.jupiter.api.Test;

import static dev.wigeonward.core.placement.PlacementFixtures.LOCAL;
import static dev.wigeonward.core.placement.PlacementFixtures.upstream;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class UpstreamLoadStateTest {
    private final UpstreamLoadState state = upstream("upstream", 2, 100, LOCAL);

    /** Guards against recorded work of this entry that drifts from the sum of its outstanding requests. */
    @Test
    void ownWorkIsExact() {
        state.onDispatched(300);
        state.onDispatched(500);
        state.onDispatched(400);
        assertThat(state.ownWorkMillis()).isEqualTo(1_200);
        assertThat(state.waitMillis(0)).isEqualTo(1_200 / 2 * 2 / 3);
        state.onEnded(500);
        state.onEnded(300);
        state.onEnded(400);
        assertThat(state.ownWorkMillis()).isZero();
        assertThat(state.waitMillis(0)).isZero();
        assertThatThrownBy(() -> state.onEnded(1)).isInstanceOf(IllegalStateException.class);
    }

    /** Guards against an old report that has the same weight as a new one. */
    @Test
    void reportedWaitHalvesInOneHalfLife() {
        state.onReport(new LoadReport(100_000, 2, 98, List.of(), List.of()), 1_000);
        assertThat(state.waitMillis(1_000)).isEqualTo(99_000);
        assertThat(state.waitMillis(3_000)).isEqualTo(49_500);
    }

    /** Guards against a burst to one upstream because its last report does not yet contain this entry's dispatches. */
    @Test
    void ownDispatchesSinceTheReportAreAdded() {
        state.onReport(new LoadReport(1_000, 2, 2, List.of(), List.of()), 0);
        long before = state.waitMillis(0);
        state.onDispatched(500);
        assertThat(state.waitMillis(0)).isGreaterThan(before);
    }

    /** Guards against a wait that is computed from running requests although a slot is free. */
    @Test
    void freeSlotMeansNoWait() {
        state.onReport(new LoadReport(5_000, 1, 0, List.of(), List.of()), 0);
        assertThat(state.waitMillis(0)).isZero();
    }
}
