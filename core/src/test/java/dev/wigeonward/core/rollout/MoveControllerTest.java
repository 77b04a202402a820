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

class MoveControllerTest {
    private static final long DEADLINE_MILLIS = 400_000;
    private static final MoveRule TO_V2 = rule("model", "v2", DEADLINE_MILLIS);
    private static final MoveRule TO_V3 = rule("model", "v3", 2 * DEADLINE_MILLIS);

    private ControllerHarness harness;

    @BeforeEach
    void startWithOldVersion() {
        harness = newHarness();
    }

    /** Guards against a good version that is not brought to all requests, or an old one that stays in memory. */
    @Test
    void goodVersionMovesFromRuleToDone() {
        harness.elect(ControllerHarness.realController());
        harness.changeRules(TO_V2);
        harness.run(200);
        assertThat(harness.record("model").phase()).isEqualTo(MovePhase.DONE);
        assertThat(harness.upstreams.values())
                .allSatisfy(upstream -> assertThat(upstream.loadedVersions()).containsExactly("v2"));
        assertThat(harness.reports)
                .extracting(MoveReport::shareBasisPoints)
                .containsSubsequence(0, 200, 1_000, 2_500, 5_000, 10_000);
        assertThat(harness.reports)
                .allSatisfy(report -> assertThat(report.onTime()).isTrue());
    }

    /** Guards against a rollback that waits for the store, or a verdict that is not written when it answers. */
    @Test
    void badVersionIsStoppedWhileStoreIsDownAndWrittenLater() {
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
        assertThat(harness.record("model").phase()).isEqualTo(MovePhase.ROLLED_BACK);
        assertThat(harness.upstreams.values())
                .allSatisfy(upstream -> assertThat(upstream.loadedVersions()).containsExactly("v1"));
        harness.changeRules(rule("model", "v2", 2 * DEADLINE_MILLIS));
        harness.run(30);
        assertThat(harness.record("model").phase()).isEqualTo(MovePhase.ROLLED_BACK);
    }

    /** Guards against new steps, renewed stages or orders without a lease that the store confirms. */
    @Test
    void nothingMovesOnWhileStoreIsDown() {
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
        assertThat(harness.record("model").phase()).isEqualTo(MovePhase.DONE);
    }

    /** Guards against a write that is taken for lost, or applied twice, when only its reply was lost. */
    @Test
    void lostRepliesAreReadBack() {
        harness.store = Store.LOSES_REPLIES;
        harness.elect(ControllerHarness.realController());
        harness.changeRules(TO_V2);
        harness.run(200);
        assertThat(harness.record("model").phase()).isEqualTo(MovePhase.DONE);
        assertThat(harness.sentOrders).extracting(Order::orderId).doesNotHaveDuplicates();
    }

    /** Guards against a verdict that dies with the controller that found it. */
    @Property(tries = 100)
    void verdictSurvivesControllerChanges(
            @ForAll @Size(min = 1, max = 6) List<@IntRange(min = 1, max = 40) Integer> gaps) {
        checkVerdictSurvives(ControllerHarness::realController, gaps);
    }

    /** Shows that the check above sees a controller that does not read the verdicts of its predecessor. */
    @Test
    void checkFailsForControllerThatForgetsVerdicts() {
        checkVerdictSurvives(ControllerHarness::realController, List.of(5));
        assertThatThrownBy(() -> checkVerdictSurvives(MoveControllerTest::forgettingController, List.of(5)))
                .isInstanceOf(AssertionError.class);
    }

    /** Guards against an order that no later controller knows of. */
    @Property(tries = 100)
    void intentIsWrittenBeforeOrder(@ForAll @Size(max = 60) List<@IntRange(max = 9) Integer> steps) {
        checkIntentBeforeOrder(ControllerHarness::realController, steps);
    }

    /** Shows that the check above sees a controller that sends orders without waiting for the store. */
    @Test
    void checkFailsForControllerThatOrdersBeforeWriting() {
        checkIntentBeforeOrder(ControllerHarness::realController, List.of(1, 1));
        assertThatThrownBy(() -> checkIntentBeforeOrder(MoveControllerTest::hastyController, List.of(1, 1)))
                .isInstanceOf(AssertionError.class);
    }

    /** Guards against a share above 2% before any route was judged. */
    @Property(tries = 100)
    void canaryShareIsNotExceededBeforeFirstVerdict(@ForAll @Size(max = 60) List<@IntRange(max = 9) Integer> steps) {
        checkCanaryShare(ControllerHarness::realController, steps);
    }

    /** Shows that the check above sees a controller that grows by time alone. */
    @Test
    void checkFailsForControllerThatGrowsWithoutEvidence() {
        checkCanaryShare(ControllerHarness::realController, List.of(1, 1, 1, 1, 1, 1));
        assertThatThrownBy(() -> checkCanaryShare(MoveControllerTest::blindController, List.of(1, 1, 1, 1, 1, 1)))
                .isInstanceOf(AssertionError.class);
    }

    /** Guards against orders and stages of a process that slept past its lease. */
    @Test
    void pausedHolderDoesNothingAfterItsLease() {
        Controller former = ControllerHarness.realController();
        harness.elect(former);
        harness.changeRules(TO_V2);
        harness.run(3);
        long later = harness.nowMillis + 60_000;
        assertThat(former.handle(new ControllerEvent.Tick(), later)).isEmpty();
        assertThat(former.handle(new ControllerEvent.RulesChanged(List.of(TO_V3)), later))
                .isEmpty();
    }

    /** Guards against a move that goes on although the operators took its rule back. */
    @Test
    void otherVersionInTheRulesReplacesTheMove() {
        harness.elect(ControllerHarness.realController());
        harness.changeRules(TO_V2);
        harness.run(30);
        assertThat(harness.publishedShare("model")).isPositive();
        harness.changeRules(TO_V3);
        assertThat(harness.publishedShare("model")).isZero();
        harness.run(300);
        assertThat(harness.record("model").newVersion()).isEqualTo("v3");
        assertThat(harness.record("model").oldVersion()).isEqualTo("v1");
        assertThat(harness.record("model").phase()).isEqualTo(MovePhase.DONE);
    }

    /** Guards against a late move that takes the loads of an earlier one, and a deadline missed without a word. */
    @Test
    void earliestDeadlineLoadsFirstAndLateMovesAreReported() {
        harness.addUpstream("b0", "other", 2, "v1");
        harness.elect(ControllerHarness.realController());
        harness.changeRules(TO_V2, rule("other", "v2", 30_000));
        harness.run(2);
        assertThat(harness.sentOrders.get(0).model()).isEqualTo("other");
        assertThat(harness.reports)
                .filteredOn(report -> !report.onTime())
                .extracting(MoveReport::model)
                .contains("other")
                .doesNotContain("model");
    }

    /** Guards against unloading the only copy of the old version before anything is known of the new one. */
    @Test
    void enginesWithRoomForOneKeepSomeOldVersionsUntilDone() {
        harness.upstreams.clear();
        for (int i = 0; i < 10; i++) {
            harness.addUpstream("a" + i, "model", 1, "v1");
        }
        harness.elect(ControllerHarness.realController());
        harness.changeRules(TO_V2);
        while (harness.records.isEmpty() || harness.record("model").phase() != MovePhase.DONE) {
            assertThat(harness.upstreams.values())
                    .anySatisfy(upstream -> assertThat(upstream.has("v1")).isTrue());
            harness.run(1);
            assertThat(harness.nowMillis).isLessThan(DEADLINE_MILLIS);
        }
        harness.run(60);
        assertThat(harness.upstreams.values())
                .allSatisfy(upstream -> assertThat(upstream.has("v2")).isTrue());
    }

    private static MoveRule rule(String model, String version, long deadlineMillis) {
        return new MoveRule(model, "v1", version, deadlineMillis, 200, "Ada");
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
        // The harness fails on an order that no stored record announced.
        play(controllers, steps, newHarness());
    }

    private static void checkCanaryShare(Supplier<Controller> controllers, List<Integer> steps) {
        ControllerHarness harness = newHarness();
        harness.failureShareByVersion.put("v2", 0.3);
        play(controllers, steps, harness);
        assertThat(harness.reports)
                .allSatisfy(report -> assertThat(report.shareBasisPoints()).isLessThanOrEqualTo(200));
    }

    private static void play(Supplier<Controller> controllers, List<Integer> steps, ControllerHarness harness) {
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

    /** Mutated variant: starts without the verdicts of the stored records. */
    private static Controller forgettingController() {
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

    private static MoveRecord withoutVerdicts(MoveRecord record) {
        return new MoveRecord(
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

    /** Mutated variant: sends the orders of a record together with its write. */
    private static Controller hastyController() {
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

    /** Mutated variant: sees no failures and no slow answers. */
    private static Controller blindController() {
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
