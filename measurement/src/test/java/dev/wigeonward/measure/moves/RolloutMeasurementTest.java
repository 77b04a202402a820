package dev.wigeonward.measure.moves;

import java.util.List;
import java.util.stream.LongStream;

import dev.wigeonward.measure.Report;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RolloutMeasurementTest {
    /** Guards against figures that cannot be reproduced, for example because threads share a random generator. */
    @Test
    void sameSeedGivesSameReport() {
        Report first = new RolloutMeasurement(2, 1).run(5);
        assertThat(new RolloutMeasurement(2, 1).run(5)).isEqualTo(first);
        assertThat(new RolloutMeasurement(2, 1).run(6)).isNotEqualTo(first);
        assertThat(new EvaluatorMeasurement(5).run(5)).isEqualTo(new EvaluatorMeasurement(5).run(5));
    }

    /** Guards against targets that are met only because the simulation sends the new version no requests. */
    @Test
    void outcomesDifferBetweenGoodAndBad() {
        CaseResult good = RolloutCase.simulateControlled(CaseScript.of(CaseKind.GOOD, 11));
        assertThat(good.isCompletedOnTime()).isTrue();
        assertThat(good.largestEarlyShare()).isBetween(0.01, 0.02);
        assertThat(good.shares()).contains(1.0);
        CaseResult bad = RolloutCase.simulateControlled(CaseScript.of(CaseKind.FAILS_AT_ONCE, 11));
        assertThat(bad.isRolledBack()).isTrue();
        assertThat(bad.shares()).endsWith(0.0, 0.0);
    }

    /**
     * Guards against an isolation that has no effect because messages still reach the isolated entry. A fixed rollout,
     * whose stages do not expire, must show late requests from that entry, and a controlled one must show none.
     */
    @Test
    void isolatedEntryKeepsSendingWithoutStageLease() {
        List<CaseScript> isolated = LongStream.range(0, 200)
                .mapToObj(seed -> CaseScript.of(CaseKind.FAILS_AT_ONCE, seed))
                .filter(script -> script.isolation().contains(70_000)
                        && script.isolation().toMillis() > 100_000)
                .toList();
        assertThat(isolated).isNotEmpty();
        assertThat(isolated.stream()
                        .map(RolloutCase::simulateFixed)
                        .mapToLong(CaseResult::laterUnreachable)
                        .sum())
                .isPositive();
        assertThat(isolated.stream().map(RolloutCase::simulateControlled)).allSatisfy(result -> {
            assertThat(result.laterReachable()).isZero();
            assertThat(result.laterUnreachable()).isZero();
        });
    }
}
