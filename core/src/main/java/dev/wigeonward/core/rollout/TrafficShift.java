package dev.wigeonward.core.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides how far one shift of traffic has come, from the evidence of all entries. A version that turns out bad may
 * have got only a small part of all requests up to the deadline, so the share stays small for half of the time, and
 * then grows in two steps. Not thread-safe.
 */
public final class TrafficShift {
    /** Stands for all versions that are not the target. */
    private static final String PREVIOUS = "previous";
    /** Half of the tenth of all requests that operators commonly allow a bad version. */
    private static final int CANARY_BASIS_POINTS = 500;

    private static final int HALF_BASIS_POINTS = 5_000;
    /** Part of the time up to the deadline during which the share stays small. */
    private static final double CANARY_PART = 0.5;
    /** Part after which it grows although some routes had too few requests for a verdict. */
    private static final double LONGEST_CANARY_PART = 0.65;

    private static final double HALF_PART = 0.12;
    /** Part after which the shift ends although old upstreams still work on something. */
    private static final double LONGEST_DRAIN_PART = 0.95;
    /** Requests of the new version without which the share does not grow. */
    private static final long LEAST_SAMPLES = 20;
    /** Time for which a route has to look bad where nothing of the old version is there to compare with. */
    private static final long CONFIRM_MILLIS = 700;

    /** Fewer samples than for moves that last hours: a shift runs a handful of tests, not thousands. */
    private static final JudgeSettings JUDGE = new JudgeSettings(1e-4, 0.01, 0.1, 0.2, 12, 60);

    private final ShiftOrder order;
    private final VersionJudge judge = new VersionJudge(JUDGE);
    private final MoveEvidence evidence;
    private final Map<String, Long> samplesBySource = new HashMap<>();
    private int shareBasisPoints = CANARY_BASIS_POINTS;
    private long halfSinceMillis;
    private ShiftState state = ShiftState.IN_PROGRESS;

    private TrafficShift(ShiftOrder order) {
        this.order = order;
        this.evidence = new MoveEvidence(PREVIOUS, order.target(), CONFIRM_MILLIS);
    }

    /** Returns a shift whose target gets the smallest share. */
    public static TrafficShift of(ShiftOrder order) {
        return new TrafficShift(order);
    }

    /** Returns the order. */
    public ShiftOrder order() {
        return order;
    }

    /** Returns where the shift stands. */
    public ShiftState state() {
        return state;
    }

    /** Adds the counters of one entry since its start. */
    public void add(ControllerEvent.EvidenceReported report, long nowMillis) {
        if (!report.version().model().equals(order.service())) {
            return;
        }
        boolean isTarget = report.version().version().equals(order.target());
        if (isTarget) {
            String source = report.upstreamId() + "/" + report.incarnation() + "/"
                    + report.cell().route();
            samplesBySource.put(source, report.counters().requests());
        }
        ModelVersion version = new ModelVersion(order.service(), isTarget ? order.target() : PREVIOUS);
        evidence.add(
                new ControllerEvent.EvidenceReported(
                        report.upstreamId()
                                + (isTarget ? "" : "/" + report.version().version()),
                        report.incarnation(),
                        version,
                        report.cell(),
                        report.counters()),
                nowMillis);
    }

    /** Returns why the new version is bad, if the evidence shows it now. */
    public Optional<BadVerdict> verdict(long nowMillis) {
        return evidence.judge(judge, false, nowMillis)
                .map(judgement -> new BadVerdict(
                        new ModelVersion(order.service(), order.target()),
                        "route " + judgement.cell().route() + ": " + judgement.reason()));
    }

    /**
     * Takes the steps that are due.
     *
     * @param bad whether the new version is known to be bad
     * @param atPrevious requests that upstreams of other versions still work on, at all entries
     */
    public void advance(boolean bad, int atPrevious, long nowMillis) {
        if (state != ShiftState.IN_PROGRESS) {
            return;
        }
        if (bad) {
            state = ShiftState.REVERTED;
            shareBasisPoints = 0;
            return;
        }
        double passed = part(nowMillis - order.startMillis());
        if (shareBasisPoints == CANARY_BASIS_POINTS && mayGrow(passed, nowMillis)) {
            shareBasisPoints = HALF_BASIS_POINTS;
            halfSinceMillis = nowMillis;
        } else if (shareBasisPoints == HALF_BASIS_POINTS
                && part(nowMillis - halfSinceMillis) >= HALF_PART
                && !evidence.isSuspect(nowMillis)) {
            shareBasisPoints = Stage.ALL_BASIS_POINTS;
        } else if (shareBasisPoints == Stage.ALL_BASIS_POINTS && (atPrevious == 0 || passed >= LONGEST_DRAIN_PART)) {
            state = ShiftState.COMPLETED;
        }
    }

    private boolean mayGrow(double passed, long nowMillis) {
        long samples =
                samplesBySource.values().stream().mapToLong(Long::longValue).sum();
        return samples >= LEAST_SAMPLES
                && !evidence.isSuspect(nowMillis)
                && (passed >= LONGEST_CANARY_PART || passed >= CANARY_PART && evidence.allRoutesPassed());
    }

    private double part(long millis) {
        return (double) millis / (order.deadlineMillis() - order.startMillis());
    }

    /** Returns the share for all entries, which counts for the given time unless it is renewed. */
    public Stage stage(long leaseMillis) {
        return new Stage(
                order.service(),
                PREVIOUS,
                order.target(),
                shareBasisPoints,
                leaseMillis,
                state == ShiftState.COMPLETED);
    }
}
