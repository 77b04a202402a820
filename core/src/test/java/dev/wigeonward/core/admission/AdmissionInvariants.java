package dev.wigeonward.core.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks of the invariants of admission queues, applied to real queues and to faulty ones that must fail them. */
public final class AdmissionInvariants {
    public static final int CAPACITY = 6;

    private AdmissionInvariants() {}

    /** One operation on a queue, with its parameters. */
    public record Step(Action action, Tier tier, String workspace, int workMillis, int timeLeftMillis) {}

    /** Kinds of operations on a queue; offers are frequent enough to fill it. */
    public enum Action {
        OFFER,
        OFFER_AGAIN,
        OFFER_WITH_DEADLINE,
        POLL,
        POLL_AND_PUT_BACK,
        REMOVE,
        PASS_TIME
    }

    public static Arbitrary<List<Step>> steps() {
        return Combinators.combine(
                        Arbitraries.of(Action.class),
                        Arbitraries.of(Tier.class),
                        Arbitraries.of("a", "b", "c"),
                        Arbitraries.integers().between(1, 100),
                        Arbitraries.integers().between(1, 200))
                .as(Step::new)
                .list()
                .ofMaxSize(60);
    }

    /**
     * Checks at each step that no request is displaced, refused or delayed in favor of one of a lower tier, and that
     * the queue does not exceed its capacity.
     */
    public static void checkTierOrderAndCapacity(AdmissionQueue queue, List<Step> steps) {
        List<RequestSpec> queued = new ArrayList<>();
        long nowMillis = 0;
        for (Step step : steps) {
            switch (step.action()) {
                case OFFER, OFFER_AGAIN, OFFER_WITH_DEADLINE -> offer(queue, step, queued, nowMillis);
                case POLL -> poll(queue, queued, nowMillis);
                case POLL_AND_PUT_BACK ->
                    poll(queue, queued, nowMillis).ifPresent(request -> {
                        queue.putBack(request, request.work().outputTokens());
                        queued.add(request);
                    });
                case REMOVE -> {
                    if (!queued.isEmpty()) {
                        RequestSpec removed = queued.remove(step.workMillis() % queued.size());
                        assertThat(queue.remove(removed.id())).isTrue();
                    }
                }
                default -> nowMillis += step.timeLeftMillis();
            }
            queued.removeAll(queue.removeExpired(nowMillis));
            assertThat(queue.size()).isEqualTo(queued.size()).isLessThanOrEqualTo(CAPACITY);
            assertThat(queue.backlogMillis(Tier.BATCH))
                    .isEqualTo(queued.stream()
                            .mapToLong(request -> request.work().outputTokens())
                            .sum());
        }
    }

    private static void offer(AdmissionQueue queue, Step step, List<RequestSpec> queued, long nowMillis) {
        long deadlineMillis = step.action() == Action.OFFER_WITH_DEADLINE
                ? nowMillis + step.timeLeftMillis()
                : QueueRequests.FAR_DEADLINE_MILLIS;
        RequestSpec request = QueueRequests.request(step.tier(), step.workspace(), step.workMillis(), deadlineMillis);
        AdmissionResult result = queue.offer(request, step.workMillis(), nowMillis);
        if (result instanceof AdmissionResult.Queued accepted) {
            queued.add(request);
            queued.removeAll(accepted.displaced());
            accepted.displaced().forEach(displaced -> assertNoneBelow(displaced.tier(), queued));
        } else if (((AdmissionResult.Refused) result).failure().kind() == ErrorKind.OVERLOADED) {
            assertThat(queued).hasSizeGreaterThanOrEqualTo(CAPACITY);
            assertNoneBelow(request.tier(), queued);
        }
    }

    private static Optional<RequestSpec> poll(AdmissionQueue queue, List<RequestSpec> queued, long nowMillis) {
        Optional<RequestSpec> polled = queue.poll(nowMillis);
        polled.ifPresent(request -> {
            assertThat(queued).noneMatch(waiting -> waiting.tier().isAbove(request.tier()));
            queued.remove(request);
        });
        return polled;
    }

    private static void assertNoneBelow(Tier tier, List<RequestSpec> queued) {
        assertThat(queued).as("requests kept").noneMatch(waiting -> tier.isAbove(waiting.tier()));
    }

    /** Checks that a request of a light workspace is admitted and polled while other workspaces keep the queue full. */
    public static void checkNoStarvation(AdmissionQueue queue, int heavyWorkspaces, int heavyMillis) {
        for (int i = 0; i < 10 * CAPACITY; i++) {
            offerHeavy(queue, i % heavyWorkspaces, heavyMillis);
        }
        assertThat(queue.poll(0)).isPresent();
        offerHeavy(queue, 0, heavyMillis);
        RequestSpec light = QueueRequests.request(Tier.STANDARD, "light", 1);
        assertThat(queue.offer(light, 1, 0)).isInstanceOf(AdmissionResult.Queued.class);
        for (int polls = 0; polls <= heavyWorkspaces; polls++) {
            if (queue.poll(0).orElseThrow().equals(light)) {
                return;
            }
            offerHeavy(queue, polls % heavyWorkspaces, heavyMillis);
        }
        throw new AssertionError(
                "request of workspace light must wait for at most one request of each of " + heavyWorkspaces
                        + " other workspaces but was not among the next " + (heavyWorkspaces + 1) + " polled");
    }

    private static void offerHeavy(AdmissionQueue queue, int workspace, int heavyMillis) {
        queue.offer(QueueRequests.request(Tier.STANDARD, "heavy-" + workspace, heavyMillis), heavyMillis, 0);
    }
}
