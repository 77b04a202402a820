package dev.wigeonward.core.rollout;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RolloutEvidenceTest {
    private static final long CONFIRM_MILLIS = 20_000;

    private final VersionEvaluator evaluator = new VersionEvaluator(EvaluationSettings.standard());
    private final RolloutEvidence evidence = new RolloutEvidence("v1", "v2", CONFIRM_MILLIS);
    private EvidenceCounters counters = EvidenceCounters.empty();

    /**
     * Guards against a good version that is called bad after a short disturbance of both versions, because the
     * confirmation time passes without any new requests.
     */
    @Test
    void suspicionNeedsNewRequestsToBeConfirmed() {
        assertThat(isBadAfter(1_000, 150, 30)).isFalse();
        assertThat(isBadAfter(1_000 + 2 * CONFIRM_MILLIS, 0, 0)).isFalse();
        assertThat(isBadAfter(2_000 + 2 * CONFIRM_MILLIS, 200, 0)).isFalse();
        assertThat(isBadAfter(3_000 + 2 * CONFIRM_MILLIS, 150, 30)).isFalse();
    }

    /**
     * Guards against a version that turns bad after it got all requests and is never called bad, because no recent
     * evidence of the old version is left to compare with.
     */
    @Test
    void lastingSuspicionIsConfirmed() {
        assertThat(isBadAfter(1_000, 150, 30)).isFalse();
        assertThat(evidence.isSuspect(1_000)).isTrue();
        assertThat(isBadAfter(10_000, 150, 30)).isFalse();
        assertThat(isBadAfter(1_000 + CONFIRM_MILLIS, 150, 30)).isTrue();
    }

    /** Guards against many failed requests because even a very high failure share waits for confirmation. */
    @Test
    void grossFailuresNeedNoConfirmation() {
        assertThat(isBadAfter(1_000, 100, 60)).isTrue();
    }

    private boolean isBadAfter(long nowMillis, int requests, int failures) {
        long[] times = new long[TimeHistogram.BUCKETS];
        times[20] = requests - failures;
        counters = counters.plus(new EvidenceCounters(requests, failures, TimeHistogram.of(times)));
        evidence.add(
                new ControllerEvent.EvidenceReported(
                        "a0", 1, new ModelVersion("model", "v2"), new RouteLoadKey("chat", false), counters),
                nowMillis);
        return evidence.evaluate(evaluator, false, nowMillis).isPresent();
    }
}
