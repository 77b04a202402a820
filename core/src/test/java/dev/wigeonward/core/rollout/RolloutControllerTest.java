package dev.wigeonward.core.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import dev.wigeonward.core.order.Order;
import dev.wigeonward.core.rollout.ControllerHarness.Controller;
import dev.wigeonward.core.rollout.ControllerHarness.Store;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class RolloutControllerTest {
    private static final long DEADLINE_MILLIS = 400_000;
    private static final RolloutRule TO_V2 = rule("model", "v2", DEADLINE_MILLIS);
    private static final RolloutRule TO_V3 = rule("model", "v3", 2 * DEADLINE_MILLIS);

    private ControllerHarness harness;

    @BeforeEach
    void startWithOldVersion() {
        harness = newHarness();
    }

    /**
     * Guards against a rollout that stops before the new version gets all requests, or leaves the old version loaded.
     */
    @Test
    void goodVersionReachesDone() {
        harness.elect(ControllerHarness.realController());
        harness.changeRules(TO_V2);
        harness.run(200);
        assertThat(harness.record("model").phase()).isEqualTo(RolloutPhase.DONE);
        assertThat(harness.upstreams.values())
                .allSatisfy(upstream -> assertThat(upstream.loadedVersions()).containsExactly("v2"));
        assertThat(harness.reports)
                .extracting(RolloutReport::shareBasisPoints)
                .containsSubsequence(0, 200, 1_000, 2_500, 5_000, 10_000);
        assertThat(harness.reports)
                .allSatisfy(report -> assertThat(report.onTime()).isTrue());
    }

    /**
     * Guards against a bad version that keeps getting requests because the rollback waits for the store, and against a
     * verdict found during a store outage that is not written afterwards, so that a rollout of the same version starts
     * again.
     */
    @Test
    void badVersionIsStoppedWhileStoreIsDownAndVerdictIsWrittenLater() {
        harness.failureShareByVersion.put("v2", 0.5);
        harness.elect(ControllerHarness.realController());
        harness.changeRules(TO_V2);
        while (harness.publishedShare("model") == 0) {
            harness.run(1);
        }
        harness.store = Store.DOWN;
        harness.run(8);
        assertThat(harness.verdicts).extracting(BadVerdict::version).contains(new ModelVersion("model", "v2"));
        assertThat(harness.publishedShare("model")).isZero();
        assertThat(harness.record("model").badReasons()).isEmpty();
        harness.store = Store.UP;
        harness.run(20);
        assertThat(harness.record("model").badReasons()).containsKey("v2");
        assertThat(harness.record("model").phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
        assertThat(harness.upstreams.values())
                .allSatisfy(upstream -> assertThat(upstream.loadedVersions()).containsExactly("v1"));
        harness.changeRules(rule("model", "v2", 2 * DEADLINE_MILLIS));
        harness.run(30);
        assertThat(harness.record("model").phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
    }

    /** Guards against steps, stage publications or orders after the lease expired because the store is down. */
    @Test
    void nothingAdvancesWhileStoreIsDown() {
        harness.elect(ControllerHarness.realController());
        harness.changeRules(TO_V2);
        harness.run(5);
        harness.store = Store.DOWN;
        harness.run(11);
        long sequence = harness.published.sequence();
        int orders = harness.sentOrders.size();
        harness.run(60);
        assertThat(harness.published.sequence()).isEqualTo(sequence);
        assertThat(harness.sentOrders).hasSize(orders);
        harness.store = Store.UP;
        harness.run(200);
        assertThat(harness.record("model").phase()).isEqualTo(RolloutPhase.DONE);
    }

    /** Guards against a stuck rollout or repeated orders when a write is applied but its reply is lost. */
    @Test
    void lostRepliesAreReadBack() {
        harness.store = Store.LOSES_REPLIES;
        harness.elect(ControllerHarness.realController());
        harness.changeRules(TO_V2);
        harness.run(200);
        assertThat(harness.record("model").phase()).isEqualTo(RolloutPhase.DONE);
        assertThat(harness.sentOrders).extracting(Order::orderId).doesNotHaveDuplicates();
    }

    /**
     * Guards against an order with the identifier of one of an earlier rollout, which agents answer with the result of
     * that order instead of executing it.
     */
    @Test
    void laterRolloutOfTheSameVersionHasOrdersOfItsOwn() {
        harness.elect(ControllerHarness.realController());
        for (String version : List.of("v2", "v3", "v2")) {
            harness.changeRules(rule("model", version, harness.nowMillis + DEADLINE_MILLIS));
            harness.run(200);
            assertThat(harness.record("model").phase()).isEqualTo(RolloutPhase.DONE);
        }
        assertThat(harness.sentOrders).extracting(Order::orderId).doesNotHaveDuplicates();
    }

    /** Guards against a bad verdict that is lost when another controller acquires the lease. */
    @Property(tries = 100)
    void verdictSurvivesControllerChanges(
            @ForAll @Size(min = 1, max = 6) List<@IntRange(min = 1, max = 40) Integer> gaps) {
        checkVerdictSurvives(ControllerHarness::realController, gaps);
    }

    /** Verifies that the check above fails for a controller that does not read the verdicts of its predecessor. */
    @Test
    void checkFailsForControllerThatIgnoresStoredVerdicts() {
        checkVerdictSurvives(ControllerHarness::realController, List.of(5));
        assertThatThrownBy(
                        () -> checkVerdictSurvives(RolloutControllerTest::ignoringStoredVerdictsController, List.of(5)))
                .isInstanceOf(AssertionError.class);
    }

    /** Guards against an order unknown to later controllers because it is sent before it is written to the store. */
    @Property(tries = 100)
    void intentIsWrittenBeforeOrder(@ForAll @Size(max = 60) List<@IntRange(max = 9) Integer> steps) {
        checkIntentBeforeOrder(ControllerHarness::realController, steps);
    }

    /** Verifies that the check above fails for a controller that sends orders without waiting for the store. */
    @Test
    void checkFailsForControllerThatOrdersBeforeWriting() {
        checkIntentBeforeOrder(ControllerHarness::realController, List.of(1, 1));
        assertThatThrownBy(() ->
                        checkIntentBeforeOrder(RolloutControllerTest::orderingBeforeWriteController, List.of(1, 1)))
                .isInstanceOf(AssertionError.class);
    }

    /** Guards against a bad version that gets more than 2% of the requests as the share grows without a verdict. */
    @Property(tries = 100)
    void canaryShareIsNotExceededBeforeFirstVerdict(@ForAll @Size(max = 60) List<@IntRange(max = 9) Integer> steps) {
        checkCanaryShare(ControllerHarness::realController, steps);
    }

    /** Verifies that the check above fails for a controller that increases the share by time alone. */
    @Test
    void checkFailsForControllerThatGrowsWithoutEvidence() {
        checkCanaryShare(ControllerHarness::realController, List.of(1, 1, 1, 1, 1, 1));
        assertThatThrownBy(() ->
                        checkCanaryShare(RolloutControllerTest::ignoringFailuresController, List.of(1, 1, 1, 1, 1, 1)))
                .isInstanceOf(AssertionError.class);
    }

    /** Guards against orders and stages from a process that was paused until after its lease expired. */
    @Test
    void pausedHolderDoesNothingAfterItsLeaseExpired() {
        Controller former = ControllerHarness.realController();
        harness.elect(former);
        harness.changeRules(TO_V2);
        harness.run(3);
        long later = harness.nowMillis + 60_000;
        assertThat(former.handle(new ControllerEvent.Tick(), later)).isEmpty();
        assertThat(former.handle(new ControllerEvent.RulesChanged(List.of(TO_V3)), later))
                .isEmpty();
    }

    /**
     * Guards against a rollout that continues after the rules name another version, and so never starts the new
     * rollout.
     */
    @Test
    void otherVersionInTheRulesReplacesTheRollout() {
        harness.elect(ControllerHarness.realController());
        harness.changeRules(TO_V2);
        harness.run(30);
        assertThat(harness.publishedShare("model")).isPositive();
        harness.changeRules(TO_V3);
        assertThat(harness.publishedShare("model")).isZero();
        harness.run(300);
        assertThat(harness.record("model").newVersion()).isEqualTo("v3");
        assertThat(harness.record("model").oldVersion()).isEqualTo("v1");
        assertThat(harness.record("model").phase()).isEqualTo(RolloutPhase.DONE);
    }

    /**
     * Guards against a rollout that delays another with an earlier deadline by using its loads, and against a deadline
     * that will be missed without a report.
     */
    @Test
    void earliestDeadlineLoadsFirstAndLateRolloutsAreReported() {
        harness.addUpstream("b0", "other", 2, "v1");
        harness.elect(ControllerHarness.realController());
        harness.changeRules(TO_V2, rule("other", "v2", 30_000));
        harness.run(2);
        assertThat(harness.sentOrders.get(0).model()).isEqualTo("other");
        assertThat(harness.reports)
                .filteredOn(report -> !report.onTime())
                .extracting(RolloutReport::model)
                .contains("other")
                .doesNotContain("model");
    }

    /** Guards against unloading the last copy of the old version before the verdict on the new one is good. */
    @Test
    void enginesWithRoomForOneKeepSomeOldVersionsUntilDone() {
        harness.upstreams.clear();
        for (int i = 0; i < 10; i++) {
            harness.addUpstream("a" + i, "model", 1, "v1");
        }
        harness.elect(ControllerHarness.realController());
        harness.changeRules(TO_V2);
        while (harness.records.isEmpty() || harness.record("model").phase() != RolloutPhase.DONE) {
            assertThat(harness.upstreams.values())
                    .anySatisfy(upstream -> assertThat(upstream.hasLoaded("v1")).isTrue());
            harness.run(1);
            assertThat(harness.nowMillis).isLessThan(DEADLINE_MILLIS);
        }
        harness.run(60);
        assertThat(harness.upstreams.values())
                .allSatisfy(upstream -> assertThat(upstream.hasLoaded("v2")).isTrue());
    }

    private static RolloutRule rule(String model, String version, long deadlineMillis) {
        return new RolloutRule(model, "v1", version, deadlineMillis, 200, "Ada");
    }

    private static ControllerHarness newHarness() {
        ControllerHarness harness = new ControllerHarness();
        for (int i = 0; i < 4; i++) {
            harness.addUpstream("a" + i, "model", 2, "v1");
        }
        return harness;
    }

    private static void checkVerdictSurvives(Supplier<Controller> controllers, List<Integer> gaps) {
        ControllerHarness harness = newHarness();
        harness.failureShareByVersion.put("v2", 0.5);
        harness.elect(controllers.get());
        harness.changeRules(TO_V2);
        harness.run(60);
        assertThat(harness.record("model").badReasons()).containsKey("v2");
        harness.changeRules(TO_V3);
        harness.run(300);
        harness.rules = List.of(TO_V2);
        for (int gap : gaps) {
            harness.elect(controllers.get());
            harness.run(gap);
            assertThat(harness.record("model").badReasons()).containsKey("v2");
            assertThat(harness.record("model").newVersion()).isEqualTo("v3");
        }
    }

    private static void checkIntentBeforeOrder(Supplier<Controller> controllers, List<Integer> steps) {
        // The harness fails on an order that no stored record lists.
        performSteps(controllers, steps, newHarness());
    }

    private static void checkCanaryShare(Supplier<Controller> controllers, List<Integer> steps) {
        ControllerHarness harness = newHarness();
        harness.failureShareByVersion.put("v2", 0.3);
        performSteps(controllers, steps, harness);
        assertThat(harness.reports)
                .allSatisfy(report -> assertThat(report.shareBasisPoints()).isLessThanOrEqualTo(200));
    }

    /** Runs the harness for {@code 1 + step} seconds, or for steps 7 to 9 changes the store or the controller. */
    private static void performSteps(Supplier<Controller> controllers, List<Integer> steps, ControllerHarness harness) {
        harness.rules = List.of(TO_V2);
        harness.elect(controllers.get());
        for (int step : steps) {
            switch (step) {
                case 7 -> harness.store = Store.values()[(harness.store.ordinal() + 1) % Store.values().length];
                case 8 -> harness.store = Store.UP;
                case 9 -> {
                    harness.store = Store.UP;
                    harness.elect(controllers.get());
                }
                default -> harness.run(1 + step);
            }
        }
    }

    /** Creates a faulty controller that ignores the verdicts in the stored records. */
    private static Controller ignoringStoredVerdictsController() {
        Controller controller = ControllerHarness.realController();
        return (event, nowMillis) -> {
            if (event instanceof ControllerEvent.LeaseAcquired acquired) {
                List<StoredRecord> stripped = acquired.records().stream()
                        .map(stored -> new StoredRecord(withoutVerdicts(stored.record()), stored.revision()))
                        .toList();
                return controller.handle(
                        new ControllerEvent.LeaseAcquired(
                                acquired.fencingNumber(), acquired.validUntilMillis(), stripped),
                        nowMillis);
            }
            return controller.handle(event, nowMillis);
        };
    }

    private static RolloutRecord withoutVerdicts(RolloutRecord record) {
        return new RolloutRecord(
                record.model(),
                record.oldVersion(),
                record.newVersion(),
                record.deadlineMillis(),
                record.canaryBasisPoints(),
                record.phase(),
                record.shareBasisPoints(),
                record.phaseStartMillis(),
                record.fencingNumber(),
                record.writeId(),
                record.orderCount(),
                record.intents(),
                Map.of(),
                record.reason());
    }

    /** Creates a faulty controller that sends the orders of a record together with its write. */
    private static Controller orderingBeforeWriteController() {
        Controller controller = ControllerHarness.realController();
        return (event, nowMillis) -> {
            List<ControllerEffect> effects = new ArrayList<>();
            for (ControllerEffect effect : controller.handle(event, nowMillis)) {
                if (effect instanceof ControllerEffect.WriteRecord write) {
                    write.record()
                            .intents()
                            .forEach(intent -> effects.add(new ControllerEffect.SendOrder(
                                    intent.upstreamId(),
                                    intent.toOrder(write.record().fencingNumber()))));
                }
                effects.add(effect);
            }
            return effects;
        };
    }

    /** Creates a faulty controller that drops the failures from the reported evidence. */
    private static Controller ignoringFailuresController() {
        Controller controller = ControllerHarness.realController();
        return (event, nowMillis) -> {
            if (event instanceof ControllerEvent.EvidenceReported reported) {
                EvidenceCounters counters = new EvidenceCounters(
                        reported.counters().requests(), 0, reported.counters().times());
                return controller.handle(
                        new ControllerEvent.EvidenceReported(
                                reported.upstreamId(),
                                reported.incarnation(),
                                reported.version(),
                                reported.cell(),
                                counters),
                        nowMillis);
            }
            return controller.handle(event, nowMillis);
        };
    }
}
