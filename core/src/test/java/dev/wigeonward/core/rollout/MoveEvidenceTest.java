package dev.wigeonward.core.rollout;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class MoveEvidenceTest {
    private static final long CONFIRM_MILLIS = 20_000;

    private final VersionJudge judge = new VersionJudge(JudgeSettings.standard());
    private final MoveEvidence evidence = new MoveEvidence("v1", "v2", CONFIRM_MILLIS);
    private EvidenceCounters counted = EvidenceCounters.empty();

    /** Guards against a short disturbance of both versions that is confirmed by silence. */
    @Test
    void suspicionNeedsNewRequestsToBeConfirmed() {
        assertThat(judgeAfter(1_000, 150, 30)).isFalse();
        assertThat(judgeAfter(1_000 + 2 * CONFIRM_MILLIS, 0, 0)).isFalse();
        assertThat(judgeAfter(2_000 + 2 * CONFIRM_MILLIS, 200, 0)).isFalse();
        assertThat(judgeAfter(3_000 + 2 * CONFIRM_MILLIS, 150, 30)).isFalse();
    }

    /** Guards against badness after completion that is never called bad. */
    @Test
    void lastingSuspicionIsConfirmed() {
        assertThat(judgeAfter(1_000, 150, 30)).isFalse();
        assertThat(evidence.isSuspect(1_000)).isTrue();
        assertThat(judgeAfter(10_000, 150, 30)).isFalse();
        assertThat(judgeAfter(1_000 + CONFIRM_MILLIS, 150, 30)).isTrue();
    }

    /** Guards against a wait for confirmation while a version fails outright. */
    @Test
    void grossFailuresNeedNoConfirmation() {
        assertThat(judgeAfter(1_000, 100, 60)).isTrue();
    }

    private boolean judgeAfter(long nowMillis, int requests, int failures) {
        long[] times = new long[TimeHistogram.BUCKETS];
        times[20] = requests - failures;
        counted = counted.plus(new EvidenceCounters(requests, failures, TimeHistogram.of(times)));
        evidence.add(
                new ControllerEvent.EvidenceReported(
                        "a0", 1, new ModelVersion("model", "v2"), new RouteCell("chat", false), counted),
                nowMillis);
        return evidence.judge(judge, false, nowMillis).isPresent();
    }
}
