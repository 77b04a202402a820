package dev.wigeonward.core.rollout;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TrafficShiftTest {
    private static final RouteCell ROUTE = new RouteCell("r", false);
    private static final long DEADLINE_MILLIS = 12_000;
    private static final int PER_TICK = 20;

    private final ShiftOrder order = new ShiftOrder("s", "v2", 0, DEADLINE_MILLIS, 5);
    private final TrafficShift shift = TrafficShift.of(order);
    private final StageView view = new StageView();
    private final ShiftChoice choice = ShiftChoice.over(view);
    private long oldRequests;
    private long newRequests;
    private long newFailures;
    private long sequence;

    private void report(String version, long requests, long failures) {
        long[] times = new long[TimeHistogram.BUCKETS];
        times[TimeHistogram.bucketOf(1)] = requests - failures;
        shift.add(
                new ControllerEvent.EvidenceReported(
                        "entry-1",
                        1,
                        new ModelVersion("s", version),
                        ROUTE,
                        new EvidenceCounters(requests, failures, TimeHistogram.of(times))),
                0);
    }

    /** Plays requests and the controller, ten ticks a second; returns the time at which the shift ended. */
    private long play(double failurePart, int atPrevious) {
        choice.order(order);
        for (long now = 0; now <= DEADLINE_MILLIS; now += 100) {
            for (int request = 0; request < PER_TICK; request++) {
                VersionBound bound = choice.choose("s", "r", now);
                if (bound.kind() == VersionBound.Kind.PREFERRED) {
                    newRequests++;
                    newFailures += newRequests * failurePart >= newFailures + 1 ? 1 : 0;
                } else {
                    oldRequests++;
                }
            }
            report("v1", oldRequests, oldRequests / 200);
            report("v2", newRequests, newFailures);
            shift.verdict(now).ifPresent(verdict -> view.merge(List.of(verdict)));
            shift.advance(view.isBad("s", "v2"), atPrevious, now);
            view.apply(new ControllerStages(1, ++sequence, List.of(shift.stage(2_000))), now);
            if (shift.state() != ShiftState.IN_PROGRESS) {
                return now;
            }
        }
        return Long.MAX_VALUE;
    }

    /** Guards against a good version that is not in place by the deadline. */
    @Test
    void goodVersionIsInPlaceBeforeTheDeadline() {
        assertThat(play(0.005, 0)).isLessThan(DEADLINE_MILLIS);
        assertThat(shift.state()).isEqualTo(ShiftState.COMPLETED);
    }

    /** Guards against an end that cuts requests which old upstreams still work on, and against one that never comes. */
    @Test
    void endWaitsForOldUpstreamsAsLongAsTheDeadlineAllows() {
        assertThat(play(0, 3)).isBetween((long) (0.9 * DEADLINE_MILLIS), DEADLINE_MILLIS);
        assertThat(shift.state()).isEqualTo(ShiftState.COMPLETED);
    }

    /** Guards against a bad version that gets more than a tenth of the requests before it is taken back. */
    @Test
    void badVersionIsTakenBackAfterFewRequests() {
        long ended = play(0.3, 0);
        assertThat(shift.state()).isEqualTo(ShiftState.REVERTED);
        assertThat(ended).isLessThan(DEADLINE_MILLIS / 2);
        assertThat(newRequests).isLessThan((oldRequests + newRequests) / 10);
        assertThat(choice.choose("s", "r", ended).kind()).isEqualTo(VersionBound.Kind.FORBIDDEN);
    }

    /** Guards against an entry that sends requests to a new version while it hears no controller. */
    @Test
    void withoutRenewalTheNewVersionGetsNothing() {
        choice.order(order);
        view.apply(new ControllerStages(1, 1, List.of(shift.stage(2_000))), 0);
        for (int request = 0; request < 200; request++) {
            assertThat(choice.choose("s", "r", 2_000).kind()).isEqualTo(VersionBound.Kind.AVOIDED);
        }
    }

    /** Guards against an entry that restarts after the end and sends requests to upstreams that were stopped. */
    @Test
    void storedEndCounts() {
        choice.order(order);
        choice.settle("s", "v2", ShiftState.COMPLETED, 9);
        assertThat(choice.choose("s", "r", 0)).isEqualTo(new VersionBound("v2", VersionBound.Kind.PREFERRED));
        assertThat(choice.open()).isEmpty();
    }

    /** Guards against the end of an earlier order that is taken for the end of a new one of the same version. */
    @Test
    void endOfEarlierOrderDoesNotCount() {
        choice.settle("s", "v2", ShiftState.COMPLETED, 3);
        choice.order(order);
        assertThat(choice.open()).containsKey("s");
        assertThat(choice.choose("s", "r", 0).kind()).isEqualTo(VersionBound.Kind.AVOIDED);
    }
}
