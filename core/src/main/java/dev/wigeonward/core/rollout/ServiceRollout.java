package dev.wigeonward.core.rollout;

import java.util.Optional;

/**
 * The state machine of one service rollout, driven by the evidence of all entries. The new version gets a canary share
 * for half of the time, then all requests for a short load test, then the canary share again until the answers of the
 * load test are known, and then all requests until the old version has none left. Not thread-safe.
 */
public final class ServiceRollout {
    /** Version name under which the evidence of all versions other than the target version is combined. */
    private static final String PREVIOUS = "previous";
    /** Fraction of the time from start to deadline during which the share stays at the canary share. */
    private static final double CANARY_TIME_FRACTION = 0.5;
    /** Fraction of the time after which the load test starts even if some routes had too few requests for a verdict. */
    private static final double MAX_CANARY_TIME_FRACTION = 0.6;
    /** Fraction of the time after which the rollout completes even if old upstreams still have requests in progress. */
    private static final double MAX_DRAIN_TIME_FRACTION = 0.95;
    /** Minimum number of the new version's requests before the load test. */
    private static final long MIN_SAMPLES = 12;
    /** Number of requests that are enough for a load test. */
    private static final long ENOUGH_LOAD_TEST_SAMPLES = 20;
    /** Minimum fraction of the requests expected in a load test that it must have had. */
    private static final double MIN_LOAD_TEST_FRACTION = 0.5;
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
    private final RolloutTraffic traffic;
    private final LoadTestPlan plan;
    private Step step = Step.CANARY;
    private int canaryBasisPoints;
    private long loadTestEndMillis;
    private double expectedLoadTestRequests;
    private RolloutState state = RolloutState.IN_PROGRESS;
    private String reason = "";

    /** Step of a rollout that is in progress. */
    private enum Step {
        /** The new version gets a small share. */
        CANARY,
        /** The new version gets all requests for a short time. */
        LOAD_TEST,
        /** The new version gets the canary share again until the answers of the load test are known. */
        REVIEW,
        /** The new version gets all requests, and the old one finishes those that it has. */
        DRAIN
    }

    private ServiceRollout(RolloutOrder order, ExposureLimit limit) {
        this.order = order;
        this.evidence = new RolloutEvidence(PREVIOUS, order.targetVersion(), CONFIRM_MILLIS);
        this.traffic = new RolloutTraffic(order.startMillis());
        this.plan = new LoadTestPlan(order, limit);
        this.canaryBasisPoints = plan.canaryBasisPoints(traffic, order.startMillis());
    }

    /** Creates a rollout with the default exposure limit. */
    public static ServiceRollout of(RolloutOrder order) {
        return of(order, ExposureLimit.DEFAULT);
    }

    /** Creates a rollout whose target version gets the canary share. */
    public static ServiceRollout of(RolloutOrder order, ExposureLimit limit) {
        return new ServiceRollout(order, limit);
    }

    /** Returns the order. */
    public RolloutOrder order() {
        return order;
    }

    /** Returns the state of the rollout. */
    public RolloutState state() {
        return state;
    }

    /** Returns why the rollout was reverted without a verdict, or an empty string. */
    public String reason() {
        return reason;
    }

    /** Adds a report of the counters that one entry has kept since its start; other services are ignored. */
    public void add(ControllerEvent.EvidenceReported report, long nowMillis) {
        if (!report.version().model().equals(order.service())) {
            return;
        }
        boolean isTarget = report.version().version().equals(order.targetVersion());
        String upstreamId =
                report.upstreamId() + (isTarget ? "" : "/" + report.version().version());
        String source = upstreamId + "/" + report.incarnation() + "/"
                + report.cell().route() + "/" + report.cell().underLoad();
        traffic.add(source, isTarget, report.counters().requests(), nowMillis);
        ModelVersion version = new ModelVersion(order.service(), isTarget ? order.targetVersion() : PREVIOUS);
        evidence.add(
                new ControllerEvent.EvidenceReported(
                        upstreamId, report.incarnation(), version, report.cell(), report.counters()),
                nowMillis);
    }

    /** Evaluates the evidence and returns a verdict with its reason if the new version is bad. */
    public Optional<BadVerdict> evaluate(long nowMillis) {
        return evidence.evaluate(evaluator, false, nowMillis)
                .map(reason -> new BadVerdict(new ModelVersion(order.service(), order.targetVersion()), reason));
    }

    /**
     * Takes at most one step: reverts the rollout, changes the share, or completes the rollout. A version that has not
     * passed a load test shortly before the deadline is reverted. A completed rollout is reverted if the version turns
     * bad before the state is stored.
     *
     * @param mustRevert whether the new version is known to be bad, or the order was withdrawn
     * @param outstandingAtPrevious requests in progress at upstreams of other versions, over all entries
     */
    public void advance(boolean mustRevert, int outstandingAtPrevious, long nowMillis) {
        if (mustRevert) {
            state = RolloutState.REVERTED;
        }
        if (state != RolloutState.IN_PROGRESS) {
            return;
        }
        double elapsedFraction = timeFraction(nowMillis - order.startMillis());
        boolean isLate = elapsedFraction >= MAX_DRAIN_TIME_FRACTION;
        if (isLate && (step == Step.CANARY || step == Step.LOAD_TEST) && isTestable(nowMillis)) {
            revert("no load test passed by the deadline");
            return;
        }
        switch (step) {
            case CANARY -> {
                canaryBasisPoints = plan.canaryBasisPoints(traffic, nowMillis);
                if (mayStartLoadTest(elapsedFraction, nowMillis)) {
                    startLoadTest(plan.loadTestMillis(traffic, nowMillis), nowMillis);
                }
            }
            case LOAD_TEST -> {
                if (nowMillis >= loadTestEndMillis) {
                    step = Step.REVIEW;
                }
            }
            case REVIEW -> {
                if (isLate || nowMillis - loadTestEndMillis >= plan.reviewMillis()) {
                    review();
                }
            }
            case DRAIN -> {
                if (outstandingAtPrevious == 0 || isLate) {
                    state = RolloutState.COMPLETED;
                }
            }
            default -> throw new IllegalStateException("unknown step " + step);
        }
    }

    /**
     * Follows the steps of the entry that holds the lease, so that this entry can take over at any of them. A load test
     * that it did not notice is repeated as far as the exposure limit allows.
     *
     * @param current the published stage of the service that is valid now
     */
    public void follow(Optional<Stage> current, long nowMillis) {
        boolean hasAll = current.filter(stage -> stage.newVersion().equals(order.targetVersion()))
                .filter(stage -> stage.shareBasisPoints() == Stage.ALL_BASIS_POINTS)
                .isPresent();
        if (step == Step.CANARY && hasAll) {
            startLoadTest(current.get().leaseMillis(), nowMillis);
        } else if (step == Step.LOAD_TEST && !hasAll) {
            step = Step.REVIEW;
            loadTestEndMillis = nowMillis;
        } else if (step == Step.REVIEW && hasAll && nowMillis - loadTestEndMillis > CONFIRM_MILLIS) {
            step = Step.DRAIN;
        }
    }

    private boolean isTestable(long nowMillis) {
        return traffic.targetRequests() >= MIN_SAMPLES || !evidence.looksGood(nowMillis);
    }

    private boolean mayStartLoadTest(double elapsedFraction, long nowMillis) {
        return traffic.targetRequests() >= MIN_SAMPLES
                && evidence.looksGood(nowMillis)
                && (elapsedFraction >= MAX_CANARY_TIME_FRACTION
                        || elapsedFraction >= CANARY_TIME_FRACTION && evidence.allRoutesPassed())
                && plan.loadTestMillis(traffic, nowMillis) > 0;
    }

    private void startLoadTest(long loadTestMillis, long nowMillis) {
        step = Step.LOAD_TEST;
        loadTestEndMillis = nowMillis + loadTestMillis;
        expectedLoadTestRequests = loadTestMillis * traffic.averageRate(nowMillis);
        evidence.startLoadTest(nowMillis);
    }

    private void review() {
        Optional<String> objection = evidence.loadTestObjection(evaluator);
        if (objection.isPresent()) {
            revert(objection.get());
            return;
        }
        boolean enough = evidence.loadTestRequests()
                >= Math.min(ENOUGH_LOAD_TEST_SAMPLES, Math.max(1, MIN_LOAD_TEST_FRACTION * expectedLoadTestRequests));
        step = enough ? Step.DRAIN : Step.CANARY;
    }

    private void revert(String why) {
        state = RolloutState.REVERTED;
        reason = why;
    }

    private double timeFraction(long millis) {
        return (double) millis / (order.deadlineMillis() - order.startMillis());
    }

    /**
     * Returns the stage to publish to all entries, which expires after the given time unless it is renewed. The stage
     * of a load test expires at its end, so that an entry that does not hear of the end stops in time.
     */
    public Stage stage(long leaseMillis, long nowMillis) {
        boolean isLoadTest = state == RolloutState.IN_PROGRESS && step == Step.LOAD_TEST;
        return new Stage(
                order.service(),
                PREVIOUS,
                order.targetVersion(),
                shareBasisPoints(),
                isLoadTest ? Math.max(0, Math.min(leaseMillis, loadTestEndMillis - nowMillis)) : leaseMillis,
                state == RolloutState.COMPLETED);
    }

    private int shareBasisPoints() {
        if (state == RolloutState.REVERTED) {
            return 0;
        }
        return switch (step) {
            case CANARY, REVIEW -> canaryBasisPoints;
            case LOAD_TEST, DRAIN -> Stage.ALL_BASIS_POINTS;
        };
    }
}
