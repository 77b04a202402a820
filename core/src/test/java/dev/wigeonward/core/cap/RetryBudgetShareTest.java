package dev.wigeonward.core.cap;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

class RetryBudgetShareTest {
    private static final long WINDOW_MILLIS = 10_000;

    /** Guards against entries that together exceed the shared retry budget in some window. */
    @Property(tries = 60)
    void entriesTogetherStayWithinTheBudgetInEveryWindow(
            @ForAll @IntRange(min = 1, max = 9) int entries,
            @ForAll @IntRange(max = 40) int requestsPerSecond,
            @ForAll @IntRange(max = 60) int allowance) {
        RetryBudgetShare[] shares = new RetryBudgetShare[entries];
        for (int entry = 0; entry < entries; entry++) {
            shares[entry] = RetryBudgetShare.create(0.2, allowance, WINDOW_MILLIS);
        }
        int seconds = 30;
        int[] granted = new int[seconds];
        for (int second = 0; second < seconds; second++) {
            for (RetryBudgetShare share : shares) {
                for (int request = 0; request < requestsPerSecond; request++) {
                    share.onRequest(second * 1_000L);
                }
                while (share.tryAcquire(entries, second * 1_000L)) {
                    granted[second]++;
                }
            }
        }
        for (int start = 0; start + 10 <= seconds; start++) {
            int retries = 0;
            for (int second = start; second < start + 10; second++) {
                retries += granted[second];
            }
            assertThat((double) retries).isLessThanOrEqualTo(0.2 * entries * requestsPerSecond * 10 + allowance);
        }
    }

    /** Guards against a share that never recovers after it was exhausted. */
    @Example
    void retriesExpireAfterTheWindow() {
        RetryBudgetShare share = RetryBudgetShare.create(0, 10, WINDOW_MILLIS);
        int first = 0;
        while (share.tryAcquire(1, 0)) {
            first++;
        }

        assertThat(first).isEqualTo(7);
        assertThat(share.tryAcquire(1, WINDOW_MILLIS - 1)).isFalse();
        assertThat(share.tryAcquire(1, WINDOW_MILLIS)).isTrue();
    }
}
