package dev.wigeonward.core.rollout;

import dev.wigeonward.core.rollout.EvidenceRecorder.Observation;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EvidenceRecorderTest {
    private static final ModelVersion VERSION = new ModelVersion("model", "v2");

    private final EvidenceRecorder recorder = new EvidenceRecorder(0.8);

    /**
     * Guards against an overestimated failure share: if requests were counted as they end, quick failures would be
     * counted before slower successes that started at the same time.
     */
    @Test
    void requestsAreCountedInTheOrderOfTheirStart() {
        Observation slow = start(0.5, 0);
        start(0.5, 10).answered(503, 20);
        assertThat(counters(false, 20)).isEqualTo(EvidenceCounters.empty());
        slow.answered(200, 400);
        assertThat(counters(false, 400).requests()).isEqualTo(2);
        assertThat(counters(false, 400).failures()).isEqualTo(1);
    }

    /** Guards against a hanging version that is never called bad because requests that do not end are not counted. */
    @Test
    void requestBeyondTheLimitCountsAsSlow() {
        start(0.5, 0);
        assertThat(counters(false, 1_999).requests()).isZero();
        EvidenceCounters late = counters(false, 2_000);
        assertThat(late.requests()).isEqualTo(1);
        assertThat(late.times().countAbove(TimeHistogram.bucketOf(8))).isEqualTo(1);
    }

    /**
     * Guards against failures under load that are diluted by requests without load because both share one counter, and
     * against cancelled requests that count as failures when the engine ends them.
     */
    @Test
    void loadIsCountedSeparatelyAndCancelledRequestsAreNot() {
        start(0.9, 0).failed(5);
        Observation cancelled = start(0.5, 0);
        cancelled.cancelled(5);
        cancelled.failed(6);
        assertThat(counters(true, 5).failures()).isEqualTo(1);
        assertThat(counters(false, 5)).isEqualTo(EvidenceCounters.empty());
    }

    private Observation start(double load, long nowMillis) {
        return recorder.start(VERSION, "chat", load, 100, nowMillis);
    }

    private EvidenceCounters counters(boolean underLoad, long nowMillis) {
        return recorder.counters(nowMillis).get(new EvidenceRecorder.Key(VERSION, new RouteLoadKey("chat", underLoad)));
    }
}
