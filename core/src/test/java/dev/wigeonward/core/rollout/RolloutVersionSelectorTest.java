package dev.wigeonward.core.rollout;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RolloutVersionSelectorTest {
    private static final String SERVICE = "app";
    private static final String TARGET = "2";
    private static final String ROUTE = "route";
    private static final long LEASE_MILLIS = 1_500;
    private static final int REQUESTS = 1_000;

    private final StageView view = new StageView();
    private final RolloutVersionSelector selector = RolloutVersionSelector.of(view);

    private void publishStage(int shareBasisPoints, boolean judgedGood) {
        Stage stage = new Stage(SERVICE, "previous", TARGET, shareBasisPoints, LEASE_MILLIS, judgedGood);
        view.apply(new ControllerStages(1, shareBasisPoints + 1L, List.of(stage)), 0);
    }

    private void publishVerdict() {
        view.merge(List.of(new BadVerdict(new ModelVersion(SERVICE, TARGET), "failures")));
    }

    private VersionConstraint choose(long nowMillis) {
        return selector.choose(SERVICE, ROUTE, nowMillis);
    }

    private long preferred(long nowMillis) {
        long preferred = 0;
        for (int request = 0; request < REQUESTS; request++) {
            preferred += choose(nowMillis).kind() == VersionConstraint.Kind.PREFERRED ? 1 : 0;
        }
        return preferred;
    }

    private void addOrder(long revision) {
        assertThat(selector.addOrder(new RolloutOrder(SERVICE, TARGET, 0, 10_000, revision)))
                .isTrue();
    }

    @Test
    void serviceWithoutRolloutIsNotConstrained() {
        assertThat(choose(0)).isEqualTo(VersionConstraint.NONE);
    }

    /** Guards against an entry that has not received an order and gives its target version a full share of requests. */
    @Test
    void stageWithoutOrderLimitsTargetVersion() {
        publishStage(500, false);

        assertThat(preferred(0)).isBetween(1L, REQUESTS / 10L);
        assertThat(choose(0).version()).isEqualTo(TARGET);
    }

    /** Guards against a target version that gets requests again when the controller is silent. */
    @Test
    void expiredStageWithoutOrderAvoidsTargetVersion() {
        publishStage(500, false);

        assertThat(preferred(LEASE_MILLIS)).isZero();
        assertThat(choose(LEASE_MILLIS).kind()).isEqualTo(VersionConstraint.Kind.AVOIDED);
    }

    @Test
    void completedStageWithoutOrderPrefersTargetVersion() {
        publishStage(Stage.ALL_BASIS_POINTS, true);

        assertThat(preferred(LEASE_MILLIS)).isEqualTo(REQUESTS);
    }

    /** Guards against requests to a version that another entry found to be bad, at an entry that knows no order. */
    @Test
    void verdictWithoutOrderForbidsVersion() {
        publishVerdict();

        assertThat(choose(0)).isEqualTo(new VersionConstraint(TARGET, VersionConstraint.Kind.FORBIDDEN));
    }

    @Test
    void verdictOverridesStageWithoutOrder() {
        publishStage(5_000, false);
        publishVerdict();

        assertThat(choose(0).kind()).isEqualTo(VersionConstraint.Kind.FORBIDDEN);
    }

    /** Guards against a version that gets requests after the operator has withdrawn its order. */
    @Test
    void withdrawnOrderAvoidsTargetVersion() {
        addOrder(5);
        publishStage(5_000, false);

        assertThat(selector.withdrawOrder(SERVICE, 6)).isTrue();

        assertThat(preferred(0)).isZero();
        assertThat(selector.unfinishedOrder(SERVICE)).isPresent();
        assertThat(selector.isWithdrawn(selector.unfinishedOrder(SERVICE).orElseThrow()))
                .isTrue();
    }

    @Test
    void earlierWithdrawalDoesNotAffectLaterOrder() {
        addOrder(5);

        assertThat(selector.withdrawOrder(SERVICE, 4)).isFalse();
        assertThat(selector.withdrawOrder(SERVICE, 6)).isTrue();
        addOrder(7);

        assertThat(selector.isWithdrawn(selector.unfinishedOrder(SERVICE).orElseThrow()))
                .isFalse();
    }

    /** Guards against a completed version losing its requests when the operator clears the order afterwards. */
    @Test
    void withdrawalAfterCompletionKeepsTargetVersion() {
        addOrder(5);
        selector.addFinalState(SERVICE, TARGET, RolloutState.COMPLETED, 6);
        selector.withdrawOrder(SERVICE, 7);

        assertThat(preferred(0)).isEqualTo(REQUESTS);
    }
}
