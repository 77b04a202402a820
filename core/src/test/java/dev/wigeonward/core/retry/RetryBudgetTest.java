package dev.wigeonward.core.retry;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

class RetryBudgetTest {
    private static final int SECONDS = 20;

    /** Guards against retries that multiply the load, and against a budget that grants fewer retries than specified. */
    @Property(tries = 50)
    void grantsLargerOfTenPercentAndMinimum(@ForAll @IntRange(max = 5_000) int requestsPerSecond) {
        RetryBudget budget = RetryBudget.create(0);
        int granted = 0;
        for (int millis = 0; millis < SECONDS * 1_000; millis++) {
            int due = requestsPerSecond * (millis % 1_000 + 1) / 1_000 - requestsPerSecond * (millis % 1_000) / 1_000;
            for (int i = 0; i < due; i++) {
                budget.recordRequest(millis);
            }
            while (budget.tryAcquire(millis)) {
                granted++;
            }
        }
        int earned = Math.max(requestsPerSecond / 10, 10) * SECONDS;
        int initial = 10;
        assertThat(granted).isBetween(earned - 1, earned + initial + SECONDS);
    }

    /** Guards against a burst of retries from tokens accumulated while no requests arrived. */
    @Example
    void accumulatesNoMoreThanOneSecond() {
        RetryBudget budget = RetryBudget.create(0);
        int granted = 0;
        while (budget.tryAcquire(3_600_000)) {
            granted++;
        }
        assertThat(granted).isEqualTo(10);
    }
}
