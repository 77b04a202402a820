package dev.wigeonward.measure.moves;

import java.util.List;
import java.util.stream.LongStream;

import dev.wigeonward.measure.Report;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class MovesMeasurementTest {
    /** Guards against figures that cannot be reproduced, for example through threads that share a random source. */
    @Test
    void sameSeedGivesSameReport() {
        Report first = new MovesMeasurement(2, 1).run(5);
        assertThat(new MovesMeasurement(2, 1).run(5)).isEqualTo(first);
        assertThat(new MovesMeasurement(2, 1).run(6)).isNotEqualTo(first);
        assertThat(new JudgeMeasurement(5).run(5)).isEqualTo(new JudgeMeasurement(5).run(5));
    }

    /** Guards against a simulation in which the targets are met because nothing happens. */
    @Test
    void outcomesDifferBetweenGoodAndBad() {
        CaseResult good = MoveCase.playControlled(CaseScript.of(CaseKind.GOOD, 11));
        assertThat(good.isCompletedOnTime()).isTrue();
        assertThat(good.largestEarlyShare()).isBetween(0.01, 0.02);
        assertThat(good.shares()).contains(1.0);
        CaseResult bad = MoveCase.playControlled(CaseScript.of(CaseKind.FAILS_AT_ONCE, 11));
        assertThat(bad.isRolledBack()).isTrue();
        assertThat(bad.shares()).endsWith(0.0, 0.0);
    }

    /** Guards against the isolated entry being reached after all: without leases it keeps sending. */
    @Test
    void isolatedEntryKeepsSendingWithoutStageLease() {
        List<CaseScript> isolated = LongStream.range(0, 200)
                .mapToObj(seed -> CaseScript.of(CaseKind.FAILS_AT_ONCE, seed))
                .filter(script -> script.isolation().contains(70_000)
                        && script.isolation().toMillis() > 100_000)
                .toList();
        assertThat(isolated).isNotEmpty();
        assertThat(isolated.stream()
                        .map(MoveCase::playFixed)
                        .mapToLong(CaseResult::laterUnreachable)
                        .sum())
                .isPositive();
        assertThat(isolated.stream().map(MoveCase::playControlled)).allSatisfy(result -> {
            assertThat(result.laterReachable()).isZero();
            assertThat(result.laterUnreachable()).isZero();
        });
    }
}
