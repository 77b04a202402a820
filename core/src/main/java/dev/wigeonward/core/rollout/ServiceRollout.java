package dev.wigeonward.core.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The state machine of one service rollout, driven by the evidence of all entries. The total share of requests that a
 * bad version may get up to the deadline is limited, so the share stays small for half of the time and then grows in
 * two steps. Not thread-safe.
 */
public final class ServiceRollout {
    /** Version name under which the evidence of all versions other than the target version is combined. */
    private static final String PREVIOUS = "previous";
    /** Initial share. Operators commonly allow a bad version a tenth of all requests; this is half of that. */
    private static final int CANARY_BASIS_POINTS = 500;

    private static final int HALF_BASIS_POINTS = 5_000;
    /** Fraction of the time from start to deadline during which the share stays at the canary share. */
    private static final double CANARY_TIME_FRACTION = 0.5;
    /** Fraction of the time after which the share grows even if some routes had too few requests for a verdict. */
    private static final double MAX_CANARY_TIME_FRACTION = 0.65;

    /** Fraction of the time during which the share stays at one half. */
    private static final double HALF_SHARE_TIME_FRACTION = 0.12;
    /** Fraction of the time after which the rollout completes even if old upstreams still have requests in progress. */
    private static final double MAX_DRAIN_TIME_FRACTION = 0.95;
    /** Minimum number of the new version's requests before the share grows beyond the canary share. */
    private static final long MIN_SAMPLES = 20;
    /** Time for which a route must look bad when there is no recent evidence of the old version to compare with. */
    private static final long CONFIRM_MILLIS = 700;

    /**
     * Requires fewer samples than the settings for models: a rollout of a model lasts hours and runs thousands of
     * tests, a rollout of a service only a handful.
     */
    private static final EvaluationSettings EVALUATION_SETTINGS = new EvaluationSettings(1e-4, 0.01, 0.1, 0.2, 12, 60);

    private final RolloutOrder order;
    private final VersionEvaluator evaluator = new VersionEvaluator(EVALUATION_SETTINGS);
    private final RolloutEvidence evidence;
    private final Map<String, Long> samplesBySource = new HashMap<>();
    private int shareBasisPoints = CANARY_BASIS_POINTS;
    private long halfShareStartMillis;
    private RolloutState state = RolloutState.IN_PROGRESS;

    private ServiceRollout(RolloutOrder order) {
        this.order = order;
        this.evidence = new RolloutEvidence(PREVIOUS, order.targetVersion(), CONFIRM_MILLIS);
    }

    /** Creates a rollout whose target version gets the canary share. */
    public static ServiceRollout of(RolloutOrder order) {
        return new ServiceRollout(order);
    }

    /** Returns the order. */
    public RolloutOrder order() {
        return order;
    }

    /** Returns the state of the rollout. */
    public RolloutState state() {
        return state;
    }

    /** Adds a report of the counters that one entry has kept since its start; other services are ignored. */
    public void add(ControllerEvent.EvidenceReported report, long nowMillis) {
        if (!report.version().model().equals(order.service())) {
            return;
        }
        boolean isTarget = report.version().version().equals(order.targetVersion());
        if (isTarget) {
            String source = report.upstreamId() + "/" + report.incarnation() + "/"
                    + report.cell().route() + "/" + report.cell().underLoad();
            samplesBySource.put(source, report.counters().requests());
        }
        ModelVersion version = new ModelVersion(order.service(), isTarget ? order.targetVersion() : PREVIOUS);
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

    /** Evaluates the evidence and returns a verdict with its reason if the new version is bad. */
    public Optional<BadVerdict> evaluate(long nowMillis) {
        return evidence.evaluate(evaluator, false, nowMillis)
                .map(reason -> new BadVerdict(new ModelVersion(order.service(), order.targetVersion()), reason));
    }

    /**
     * Takes at most one step: reverts the rollout, increases the share, or completes the rollout. The share grows on
     * evidence that the version is good; a version without it shortly before the deadline is reverted.
     *
     * @param mustRevert whether the new version is known to be bad, or the order was withdrawn
     * @param outstandingAtPrevious requests in progress at upstreams of other versions, over all entries
     */
    public void advance(boolean mustRevert, int outstandingAtPrevious, long nowMillis) {
        if (state != RolloutState.IN_PROGRESS) {
            return;
        }
        double elapsedFraction = timeFraction(nowMillis - order.startMillis());
        boolean undecidedAtEnd = shareBasisPoints != Stage.ALL_BASIS_POINTS
                && elapsedFraction >= MAX_DRAIN_TIME_FRACTION
                && !evidence.looksGood(nowMillis);
        if (mustRevert || undecidedAtEnd) {
            state = RolloutState.REVERTED;
            shareBasisPoints = 0;
            return;
        }
        if (shareBasisPoints == CANARY_BASIS_POINTS && mayGrow(elapsedFraction, nowMillis)) {
            shareBasisPoints = HALF_BASIS_POINTS;
            halfShareStartMillis = nowMillis;
        } else if (shareBasisPoints == HALF_BASIS_POINTS
                && timeFraction(nowMillis - halfShareStartMillis) >= HALF_SHARE_TIME_FRACTION
                && evidence.looksGood(nowMillis)) {
            shareBasisPoints = Stage.ALL_BASIS_POINTS;
        } else if (shareBasisPoints == Stage.ALL_BASIS_POINTS
                && (outstandingAtPrevious == 0 || elapsedFraction >= MAX_DRAIN_TIME_FRACTION)) {
            state = RolloutState.COMPLETED;
        }
    }

    private boolean mayGrow(double elapsedFraction, long nowMillis) {
        long samples =
                samplesBySource.values().stream().mapToLong(Long::longValue).sum();
        return samples >= MIN_SAMPLES
                && evidence.looksGood(nowMillis)
                && (elapsedFraction >= MAX_CANARY_TIME_FRACTION
                        || elapsedFraction >= CANARY_TIME_FRACTION && evidence.allRoutesPassed());
    }

    private double timeFraction(long millis) {
        return (double) millis / (order.deadlineMillis() - order.startMillis());
    }

    /** Returns the stage to publish to all entries, which expires after the given time unless it is renewed. */
    public Stage stage(long leaseMillis) {
        return new Stage(
                order.service(),
                PREVIOUS,
                order.targetVersion(),
                shareBasisPoints,
                leaseMillis,
                state == RolloutState.COMPLETED);
    }
}
