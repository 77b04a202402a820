package dev.wigeonward.core.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import dev.wigeonward.core.admission.AdmissionInvariants;
import dev.wigeonward.core.admission.AdmissionQueue;
import dev.wigeonward.core.admission.AdmissionResult;
import dev.wigeonward.core.admission.QueueRequests;
import dev.wigeonward.core.admission.WorkspaceWeights;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class PriorityEngineQueueTest {
    private static final int SLOTS = 8;
    private static final long WORK_MILLIS = 2_500;
    private static final int SHORT_MILLIS = 10;
    private static final int LONG_MILLIS = 1_000;
    private static final EngineLimits LIMITS = new EngineLimits(SLOTS, WORK_MILLIS, SHORT_MILLIS, 100);

    /**
     * Guards against a short request that waits behind long ones, and against exceeding the slots or work of the
     * engine.
     */
    @Property(tries = 500)
    void shortRequestsAreNotBlockedAndLimitsHold(@ForAll("serviceTimes") List<Integer> serviceMillis) {
        checkShortNotBlockedAndLimits(queue(LIMITS), serviceMillis);
    }

    /** Guards against a check of the reserved slots that cannot fail. */
    @Example
    void checkFailsWithoutReservedSlots() {
        assertFailsForSome(new EngineLimits(SLOTS, WORK_MILLIS, Long.MAX_VALUE, 100));
    }

    /** Guards against a check of the slot limit that cannot fail. */
    @Example
    void checkFailsWithOneMoreSlot() {
        assertFailsForSome(new EngineLimits(SLOTS + 1, WORK_MILLIS, SHORT_MILLIS, 100));
    }

    /** Guards against a check of the work limit that cannot fail. */
    @Example
    void checkFailsWithMoreWork() {
        assertFailsForSome(new EngineLimits(SLOTS, 2 * WORK_MILLIS, SHORT_MILLIS, 100));
    }

    /** Guards against displacing or delaying a higher tier in favor of a lower one at the agent. */
    @Property(tries = 500)
    void tiersAreOrderedAndCapacityHolds(@ForAll("steps") List<AdmissionInvariants.Step> steps) {
        EngineLimits small = new EngineLimits(1, WORK_MILLIS, SHORT_MILLIS, AdmissionInvariants.CAPACITY);
        AdmissionInvariants.checkTierOrderAndCapacity(new EngineQueueAdapter(queue(small)), withoutPutBack(steps));
    }

    /** Guards against a check of the agent's tier order that cannot fail. */
    @Example
    void checkFailsForFifo() {
        assertThat(AdmissionInvariants.steps().sampleStream().limit(300))
                .anySatisfy(steps -> assertThatThrownBy(() -> AdmissionInvariants.checkTierOrderAndCapacity(
                                new EngineQueueAdapter(
                                        FifoEngineQueue.create(1, QueueRequests.SPEED, AdmissionInvariants.CAPACITY)),
                                withoutPutBack(steps)))
                        .isInstanceOf(AssertionError.class));
    }

    /** Guards against prefill work for a request that cannot meet its deadline. */
    @Example
    void lateRequestIsReportedInsteadOfSubmitted() {
        PriorityEngineQueue queue = queue(LIMITS);
        RequestSpec request = QueueRequests.request(Tier.CRITICAL, "a", LONG_MILLIS, 1_500);
        queue.offer(request, 0);
        assertThat(queue.poll(501)).isEmpty();
        assertThat(queue.removeExpired(501)).containsExactly(request);
        AdmissionResult refused = queue.offer(QueueRequests.request(Tier.CRITICAL, "a", LONG_MILLIS, 1_500), 501);
        assertThat(((AdmissionResult.Refused) refused).failure().kind()).isEqualTo(ErrorKind.DEADLINE_UNREACHABLE);
    }

    /**
     * Guards against admitting requests that cannot meet their deadline, and against reporting too low a backlog,
     * because the engine is slower than announced.
     */
    @Example
    void slowEngineIsDetectedFromEndedRequests() {
        PriorityEngineQueue queue = queue(new EngineLimits(1, WORK_MILLIS, SHORT_MILLIS, 10));
        long nowMillis = 0;
        for (int i = 0; i < 100; i++) {
            RequestSpec request = QueueRequests.request(Tier.STANDARD, "a", LONG_MILLIS);
            queue.offer(request, nowMillis);
            assertThat(queue.poll(nowMillis)).contains(request);
            nowMillis += 2 * LONG_MILLIS;
            queue.onEnded(request.id(), nowMillis);
        }
        queue.offer(QueueRequests.request(Tier.STANDARD, "a", LONG_MILLIS), nowMillis);
        assertThat(queue.backlogMillis(nowMillis)).isBetween(2L * LONG_MILLIS - 20, 2L * LONG_MILLIS + 20);
        AdmissionResult tooLate =
                queue.offer(QueueRequests.request(Tier.STANDARD, "a", LONG_MILLIS, nowMillis + 1_900), nowMillis);
        assertThat(tooLate).isInstanceOf(AdmissionResult.Refused.class);
    }

    /** Guards against slots that stay occupied after a cancellation, and against an end that frees two slots. */
    @Example
    void cancellationFreesTheSlotAtOnce() {
        PriorityEngineQueue queue = queue(new EngineLimits(1, WORK_MILLIS, SHORT_MILLIS, 1));
        RequestSpec first = QueueRequests.request(Tier.STANDARD, "a", LONG_MILLIS);
        RequestSpec second = QueueRequests.request(Tier.STANDARD, "a", LONG_MILLIS);
        RequestSpec third = QueueRequests.request(Tier.STANDARD, "a", LONG_MILLIS);
        queue.offer(first, 0);
        assertThat(queue.poll(0)).contains(first);
        queue.offer(second, 0);
        assertThat(queue.remove(second.id())).isTrue();
        assertThat(queue.offer(third, 0)).isInstanceOf(AdmissionResult.Queued.class);
        assertThat(queue.poll(0)).isEmpty();
        queue.onEnded(first.id(), 1);
        queue.onEnded(first.id(), 1);
        assertThat(queue.poll(1)).contains(third);
        assertThat(queue.running()).isEqualTo(1);
    }

    @Provide
    Arbitrary<List<Integer>> serviceTimes() {
        return Arbitraries.of(1, SHORT_MILLIS, LONG_MILLIS, -1).list().ofMaxSize(60);
    }

    @Provide
    Arbitrary<List<AdmissionInvariants.Step>> steps() {
        return AdmissionInvariants.steps();
    }

    private static PriorityEngineQueue queue(EngineLimits limits) {
        return PriorityEngineQueue.create(limits, QueueRequests.SPEED, WorkspaceWeights.equal());
    }

    /**
     * Checks the limits while offering requests of the given service times, where -1 ends the oldest running request.
     */
    private static void checkShortNotBlockedAndLimits(EngineQueue queue, List<Integer> serviceMillis) {
        List<RequestSpec> running = new ArrayList<>();
        int shortQueued = 0;
        for (int millis : serviceMillis) {
            if (millis > 0) {
                queue.offer(QueueRequests.request(Tier.BATCH, "w" + millis, millis), 0);
                shortQueued += millis <= SHORT_MILLIS ? 1 : 0;
            } else if (!running.isEmpty()) {
                queue.onEnded(running.remove(0).id(), 0);
            }
            for (Optional<RequestSpec> next = queue.poll(0); next.isPresent(); next = queue.poll(0)) {
                running.add(next.get());
                shortQueued -= isShort(next.get()) ? 1 : 0;
            }
            long shortRunning =
                    running.stream().filter(PriorityEngineQueueTest::isShort).count();
            long longMillis = (running.size() - shortRunning) * LONG_MILLIS;
            assertThat(running).hasSizeLessThanOrEqualTo(SLOTS);
            assertThat(longMillis).isLessThanOrEqualTo(WORK_MILLIS);
            assertThat(shortQueued == 0 || shortRunning >= SLOTS / 4)
                    .as(
                            "%s short requests are queued while %s run, expected at least %s to run",
                            shortQueued, shortRunning, SLOTS / 4)
                    .isTrue();
        }
    }

    private static boolean isShort(RequestSpec request) {
        return request.work().outputTokens() <= SHORT_MILLIS;
    }

    private static void assertFailsForSome(EngineLimits mutated) {
        assertThat(new PriorityEngineQueueTest().serviceTimes().sampleStream().limit(500))
                .anySatisfy(times -> assertThatThrownBy(() -> checkShortNotBlockedAndLimits(queue(mutated), times))
                        .isInstanceOf(AssertionError.class));
    }

    private static List<AdmissionInvariants.Step> withoutPutBack(List<AdmissionInvariants.Step> steps) {
        return steps.stream()
                .filter(step -> step.action() != AdmissionInvariants.Action.POLL_AND_PUT_BACK)
                .toList();
    }

    /** Adapts an engine queue to the admission checks; its engine has one slot and answers immediately. */
    private record EngineQueueAdapter(EngineQueue queue) implements AdmissionQueue {
        @Override
        public AdmissionResult offer(RequestSpec request, long serviceMillis, long nowMillis) {
            return queue.offer(request, nowMillis);
        }

        @Override
        public Optional<RequestSpec> poll(long nowMillis) {
            Optional<RequestSpec> next = queue.poll(nowMillis);
            next.ifPresent(request -> queue.onEnded(request.id(), nowMillis));
            return next;
        }

        @Override
        public void putBack(RequestSpec request, long serviceMillis) {
            throw new UnsupportedOperationException(
                    "putBack is not supported by engine queues: request " + request.id());
        }

        @Override
        public List<RequestSpec> removeExpired(long nowMillis) {
            return queue.removeExpired(nowMillis);
        }

        @Override
        public boolean remove(RequestId id) {
            return queue.remove(id);
        }

        @Override
        public long backlogMillis(Tier lowest) {
            return queue.backlogMillis(0);
        }

        @Override
        public int size() {
            return queue.queued();
        }
    }
}
