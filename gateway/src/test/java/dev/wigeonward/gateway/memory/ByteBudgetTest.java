package dev.wigeonward.gateway.memory;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ByteBudgetTest {
    private static final long MAX_BYTES = 1_000_000;
    private static final long LARGE_BYTES = 250_000;

    private final ByteBudget budget = ByteBudget.of(MAX_BYTES);

    /** Guards against memory that grows with the number of connections. */
    @Test
    void sumOfAllHoldsStaysWithinBudget() {
        int refused = 0;
        for (int holder = 0; holder < 100; holder++) {
            refused += budget.open().tryResize(50_000) ? 0 : 1;
        }

        assertThat(budget.heldBytes()).isEqualTo(MAX_BYTES);
        assertThat(refused).isEqualTo(80);
    }

    /** Guards against a few large requests that keep all small ones from being read. */
    @Test
    void largeHoldsLeaveRoomForSmallOnes() {
        for (int holder = 0; holder < 3; holder++) {
            assertThat(budget.open().tryResize(LARGE_BYTES)).isTrue();
        }

        assertThat(budget.open().tryResize(LARGE_BYTES)).isFalse();
        assertThat(budget.open().tryResize(ByteBudget.SMALL_HOLD_BYTES)).isTrue();
    }

    @Test
    void refusedResizeLeavesHoldAsItWas() {
        ByteBudget.Hold hold = budget.open();
        hold.tryResize(100);

        assertThat(hold.tryResize(MAX_BYTES + 1)).isFalse();
        assertThat(hold.bytes()).isEqualTo(100);
        assertThat(budget.heldBytes()).isEqualTo(100);
    }

    @Test
    void releasedBytesAreAvailableAgain() {
        ByteBudget.Hold first = budget.open();
        assertThat(first.tryResize(750_000)).isTrue();
        first.release();
        first.release();

        assertThat(budget.heldBytes()).isZero();
        assertThat(budget.open().tryResize(750_000)).isTrue();
    }

    /** Guards against a hold that cannot shrink while the budget is used up. */
    @Test
    void smallerSizeIsAlwaysAllowed() {
        ByteBudget.Hold hold = budget.open();
        hold.tryResize(750_000);
        budget.open().tryResize(60_000);
        budget.open().tryResize(60_000);

        assertThat(hold.tryResize(740_000)).isTrue();
    }
}
