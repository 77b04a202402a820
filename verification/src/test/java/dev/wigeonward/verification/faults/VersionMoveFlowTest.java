package dev.wigeonward.verification.faults;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;

import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;
import dev.wigeonward.core.request.WorkEstimate;
import dev.wigeonward.core.rollout.BadVerdict;
import dev.wigeonward.core.rollout.ControllerStages;
import dev.wigeonward.core.rollout.ModelVersion;
import dev.wigeonward.core.rollout.ShareLimiter;
import dev.wigeonward.core.rollout.Stage;
import dev.wigeonward.core.rollout.StageView;
import dev.wigeonward.core.rollout.VersionSelector;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Simulates a rollout of a bad version at three entries with the production selector; the verdict is sent at 20 s. */
class VersionMoveFlowTest {
    private static final String MODEL = "model";
    private static final String BAD = "v2";
    private static final int SHARE_BASIS_POINTS = 200;
    private static final long VERDICT_MILLIS = 20_000;
    private static final long STOP_MILLIS = 2_000;

    enum RolloutStep {
        FIRST_STAGE,
        CANARY_SENT,
        BEFORE_VERDICT,
        VERDICT_SENT,
        VERDICT_ARRIVED
    }

    enum RolloutFault {
        NONE,
        ENTRY_REPLACED,
        ENTRY_FROZEN,
        CONTROLLER_PAUSED_PAST_LEASE,
        CONTROLLER_KILLED,
        CONTROLLERS_RACING,
        LINK_SILENT,
        FRAMES_LATE,
        FRAMES_CROSSED,
        FRAMES_DUPLICATED,
        BURST
    }

    /** Guard that a mutation disables. */
    enum DisabledGuard {
        NONE,
        SHARE_LIMIT,
        VERDICT,
        STAGE_LEASE
    }

    /** Guards against a bad version that receives more than its share, or requests after the verdict. */
    @ParameterizedTest(name = "{0} and {1}")
    @MethodSource("pairs")
    void badVersionGetsItsShareAndNothingAfterTheVerdict(RolloutFault first, RolloutFault second) {
        for (RolloutStep step : RolloutStep.values()) {
            assertThat(new Scenario(step, List.of(first, second), DisabledGuard.NONE).simulate())
                    .as("%s and %s at %s", first, second, step)
                    .isEmpty();
        }
    }

    static Stream<Arguments> pairs() {
        return Arrays.stream(RolloutFault.values())
                .flatMap(first -> Arrays.stream(RolloutFault.values()).map(second -> Arguments.of(first, second)));
    }

    /** Verifies that the checks of invariant 3 fail when a guard is disabled. */
    @Test
    void checksFailWithoutTheGuards() {
        List<RolloutFault> silent = List.of(RolloutFault.LINK_SILENT, RolloutFault.NONE);
        assertThat(new Scenario(RolloutStep.BEFORE_VERDICT, silent, DisabledGuard.NONE).simulate())
                .isEmpty();
        assertThat(new Scenario(RolloutStep.BEFORE_VERDICT, silent, DisabledGuard.SHARE_LIMIT).simulate())
                .anyMatch(violation -> violation.contains("share"));
        assertThat(new Scenario(RolloutStep.FIRST_STAGE, List.of(RolloutFault.NONE), DisabledGuard.VERDICT).simulate())
                .anyMatch(violation -> violation.contains("after the verdict"));
        assertThat(new Scenario(RolloutStep.BEFORE_VERDICT, silent, DisabledGuard.STAGE_LEASE).simulate())
                .anyMatch(violation -> violation.contains("after the lease"));
    }

    private static final class Entry {
        private StageView view;
        private VersionSelector selector;
        private long frozenUntilMillis;
        private boolean silent;
        private boolean verdictReceived;
    }

    private static final class Scenario extends EventScheduler {
        private final RolloutStep faultStep;
        private final List<RolloutFault> faults;
        private final DisabledGuard disabledGuard;
        private final Random random = new Random(7);
        private final List<Entry> entries = new ArrayList<>();
        private final List<String> violations = new ArrayList<>();
        private final List<Long> pausedUntil = new ArrayList<>(List.of(0L, 0L));
        private boolean faultsInjected;
        private boolean racing;
        private long delayMillis = 1;
        private boolean reordered;
        private boolean duplicated;
        private int burst = 1;
        private long requests;
        private long canaries;
        private long sequence;
        private long verdictMillis = Long.MAX_VALUE / 2;

        private Scenario(RolloutStep faultStep, List<RolloutFault> faults, DisabledGuard disabledGuard) {
            this.faultStep = faultStep;
            this.faults = faults;
            this.disabledGuard = disabledGuard;
            for (int i = 0; i < 3; i++) {
                entries.add(new Entry());
                start(entries.get(i));
            }
        }

        private void start(Entry entry) {
            entry.view = new StageView();
            entry.selector = new VersionSelector(entry.view, new ShareLimiter());
            entry.verdictReceived = false;
        }

        private List<String> simulate() {
            after(0, () -> publish(0, 5));
            after(0, this::request);
            after(VERDICT_MILLIS - 1_500, () -> reached(RolloutStep.BEFORE_VERDICT, entries.get(0)));
            after(VERDICT_MILLIS, this::verdict);
            runFor(45_000);
            if (canaries * Stage.ALL_BASIS_POINTS > SHARE_BASIS_POINTS * requests) {
                violations.add("3: share: " + canaries + " of " + requests);
            }
            return violations;
        }

        /** Publishes the stages every two seconds until after the verdict; a paused controller resumes afterwards. */
        private void publish(int controller, long fencingNumber) {
            if (now() < pausedUntil.get(controller)) {
                if (pausedUntil.get(controller) < Long.MAX_VALUE) {
                    after(pausedUntil.get(controller) - now(), () -> publish(controller, fencingNumber));
                }
                return;
            }
            int share = disabledGuard == DisabledGuard.SHARE_LIMIT ? Stage.ALL_BASIS_POINTS : SHARE_BASIS_POINTS;
            boolean evaluatedGood = disabledGuard == DisabledGuard.STAGE_LEASE;
            Stage stage = new Stage(MODEL, "v1", BAD, share, StageView.MAX_LEASE_MILLIS, evaluatedGood);
            boolean ended = now() > VERDICT_MILLIS + 1_000 && disabledGuard != DisabledGuard.VERDICT;
            ControllerStages stages =
                    new ControllerStages(fencingNumber, ++sequence, ended ? List.of() : List.of(stage));
            entries.forEach(entry -> send(entry, () -> entry.view.apply(stages, now())));
            reached(RolloutStep.FIRST_STAGE, entries.get(0));
            if (!ended) {
                after(2_000, () -> publish(controller, fencingNumber));
            }
            if (racing && controller == 0) {
                racing = false;
                after(300, () -> publish(1, fencingNumber + 1));
            }
        }

        private void verdict() {
            verdictMillis = now();
            reached(RolloutStep.VERDICT_SENT, entries.get(0));
            BadVerdict bad = new BadVerdict(new ModelVersion(MODEL, BAD), "failures");
            for (Entry entry : entries) {
                sendVerdict(entry, bad);
            }
        }

        /** Sends the verdict with each heartbeat, so that a restarted entry receives it as well. */
        private void sendVerdict(Entry entry, BadVerdict bad) {
            send(entry, () -> {
                reached(RolloutStep.VERDICT_ARRIVED, entry);
                entry.verdictReceived = true;
                if (disabledGuard != DisabledGuard.VERDICT) {
                    entry.view.merge(List.of(bad));
                }
            });
            after(1_000, () -> sendVerdict(entry, bad));
        }

        private void send(Entry entry, Runnable frame) {
            if (entry.silent) {
                return;
            }
            long delay = delayMillis + (reordered ? random.nextInt(1_000) : 0);
            after(delay, () -> deliver(entry, frame));
            if (duplicated) {
                after(delay + 1_500, () -> deliver(entry, frame));
            }
        }

        private void deliver(Entry entry, Runnable frame) {
            if (now() < entry.frozenUntilMillis) {
                after(entry.frozenUntilMillis - now(), () -> deliver(entry, frame));
                return;
            }
            frame.run();
        }

        private void request() {
            for (Entry entry : entries) {
                for (int i = 0; i < burst && now() >= entry.frozenUntilMillis; i++) {
                    choose(entry);
                }
            }
            after(10, this::request);
        }

        private void choose(Entry entry) {
            RequestSpec request = new RequestSpec(
                    new RequestId("r" + ++requests),
                    Optional.empty(),
                    Tier.STANDARD,
                    "w",
                    MODEL,
                    "route",
                    new WorkEstimate(10, 10, 0),
                    now() + 10_000,
                    true,
                    requests);
            boolean toNew = entry.selector
                    .select(request, List.of("v1", BAD), now())
                    .filter(BAD::equals)
                    .isPresent();
            if (!toNew) {
                return;
            }
            canaries++;
            if (entry.verdictReceived) {
                violations.add("3: " + request.id() + " after the verdict arrived");
            }
            boolean unreachable = entry.silent || delayMillis > STOP_MILLIS;
            long allowedMillis = unreachable ? StageView.MAX_LEASE_MILLIS + delayMillis : STOP_MILLIS;
            if (now() > verdictMillis + allowedMillis && now() >= entry.frozenUntilMillis + STOP_MILLIS) {
                violations.add("3: " + request.id() + " after the lease at " + now());
            }
            reached(RolloutStep.CANARY_SENT, entry);
        }

        private void reached(RolloutStep step, Entry entry) {
            if (faultsInjected || step != faultStep) {
                return;
            }
            faultsInjected = true;
            faults.forEach(fault -> inject(fault, entry));
        }

        private void inject(RolloutFault fault, Entry entry) {
            switch (fault) {
                case ENTRY_REPLACED -> start(entry);
                case ENTRY_FROZEN -> entry.frozenUntilMillis = now() + 3_000;
                case CONTROLLER_PAUSED_PAST_LEASE -> pausedUntil.set(0, now() + 12_000);
                case CONTROLLER_KILLED -> pausedUntil.set(0, Long.MAX_VALUE);
                case CONTROLLERS_RACING -> racing = true;
                case LINK_SILENT -> entry.silent = true;
                case FRAMES_LATE -> delayMillis = 3_000;
                case FRAMES_CROSSED -> reordered = true;
                case FRAMES_DUPLICATED -> duplicated = true;
                case BURST -> burst = 10;
                default -> {
                    // No fault.
                }
            }
        }
    }
}
