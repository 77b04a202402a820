package dev.wigeonward.core.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import dev.wigeonward.core.admission.AdmissionChecks;
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

    /** Guards against a short request behind long ones, and against more slots or work than the engine has room for. */
    @Property(tries = 500)
    void shortIsNeverBehindLongAndBoundsHold(@ForAll("serviceTimes") List<Integer> serviceMillis) {
        checkShortNotBlockedAndBounds(queue(LIMITS), serviceMillis);
    }

    /** Guards against a check of the reserve that cannot fail. */
    @Example
    void checkFailsWithoutReserve() {
        assertFailsForSome(new EngineLimits(SLOTS, WORK_MILLIS, Long.MAX_VALUE, 100));
    }

    /** Guards against a check of the slots that cannot fail. */
    @Example
    void checkFailsWithOneMoreSlot() {
        assertFailsForSome(new EngineLimits(SLOTS + 1, WORK_MILLIS, SHORT_MILLIS, 100));
    }

    /** Guards against a check of the work that cannot fail. */
    @Example
    void checkFailsWithMoreWork() {
        assertFailsForSome(new EngineLimits(SLOTS, 2 * WORK_MILLIS, SHORT_MILLIS, 100));
    }

    /** Guards against shedding or delaying a higher tier at the agent for a lower one. */
    @Property(tries = 500)
    void tiersAreOrderedAndCapacityHolds(@ForAll("steps") List<AdmissionChecks.Step> steps) {
        EngineLimits small = new EngineLimits(1, WORK_MILLIS, SHORT_MILLIS, AdmissionChecks.CAPACITY);
        AdmissionChecks.checkTierOrderAndCapacity(new EngineAsAdmission(queue(small)), withoutPutBack(steps));
    }

    /** Guards against a check of the agent's tiers that cannot fail. */
    @Example
    void checkFailsForFifo() {
        assertThat(AdmissionChecks.steps().sampleStream().limit(300))
                .anySatisfy(steps -> assertThatThrownBy(() -> AdmissionChecks.checkTierOrderAndCapacity(
                                new EngineAsAdmission(
                                        FifoEngineQueue.create(1, QueueRequests.SPEED, AdmissionChecks.CAPACITY)),
                                withoutPutBack(steps)))
                        .isInstanceOf(AssertionError.class));
    }

    /** Guards against prefill spent on a request that is late anyway. */
    @Example
    void lateRequestIsReportedInsteadOfHandedOver() {
        PriorityEngineQueue queue = queue(LIMITS);
        RequestSpec request = QueueRequests.request(Tier.CRITICAL, "a", LONG_MILLIS, 1_500);
        queue.offer(request, 0);
        assertThat(queue.next(501)).isEmpty();
        assertThat(queue.removeExpired(501)).containsExactly(request);
        AdmissionResult refused = queue.offer(QueueRequests.request(Tier.CRITICAL, "a", LONG_MILLIS, 1_500), 501);
        assertThat(((AdmissionResult.Refused) refused).failure().kind()).isEqualTo(ErrorKind.DEADLINE_UNREACHABLE);
    }

    /** Guards against prefill spent at an engine slower than announced, and against a backlog reported too low. */
    @Example
    void slowEngineIsLearnedFromEndedRequests() {
        PriorityEngineQueue queue = queue(new EngineLimits(1, WORK_MILLIS, SHORT_MILLIS, 10));
        long nowMillis = 0;
        for (int i = 0; i < 100; i++) {
            RequestSpec request = QueueRequests.request(Tier.STANDARD, "a", LONG_MILLIS);
            queue.offer(request, nowMillis);
            assertThat(queue.next(nowMillis)).contains(request);
            nowMillis += 2 * LONG_MILLIS;
            queue.onEnded(request.id(), nowMillis);
        }
        queue.offer(QueueRequests.request(Tier.STANDARD, "a", LONG_MILLIS), nowMillis);
        assertThat(queue.backlogMillis(nowMillis)).isBetween(2L * LONG_MILLIS - 20, 2L * LONG_MILLIS + 20);
        AdmissionResult tooLate =
                queue.offer(QueueRequests.request(Tier.STANDARD, "a", LONG_MILLIS, nowMillis + 1_900), nowMillis);
        assertThat(tooLate).isInstanceOf(AdmissionResult.Refused.class);
    }

    /** Guards against places that stay taken after a cancellation, and against counting an end twice. */
    @Example
    void cancellationFreesThePlaceAtOnce() {
        PriorityEngineQueue queue = queue(new EngineLimits(1, WORK_MILLIS, SHORT_MILLIS, 1));
        RequestSpec first = QueueRequests.request(Tier.STANDARD, "a", LONG_MILLIS);
        RequestSpec second = QueueRequests.request(Tier.STANDARD, "a", LONG_MILLIS);
        RequestSpec third = QueueRequests.request(Tier.STANDARD, "a", LONG_MILLIS);
        queue.offer(first, 0);
        assertThat(queue.next(0)).contains(first);
        queue.offer(second, 0);
        assertThat(queue.remove(second.id())).isTrue();
        assertThat(queue.offer(third, 0)).isInstanceOf(AdmissionResult.Queued.class);
        assertThat(queue.next(0)).isEmpty();
        queue.onEnded(first.id(), 1);
        queue.onEnded(first.id(), 1);
        assertThat(queue.next(1)).contains(third);
        assertThat(queue.running()).isEqualTo(1);
    }

    @Provide
    Arbitrary<List<Integer>> serviceTimes() {
        return Arbitraries.of(1, SHORT_MILLIS, LONG_MILLIS, -1).list().ofMaxSize(60);
    }

    @Provide
    Arbitrary<List<AdmissionChecks.Step>> steps() {
        return AdmissionChecks.steps();
    }

    private static PriorityEngineQueue queue(EngineLimits limits) {
        return PriorityEngineQueue.create(limits, QueueRequests.SPEED, WorkspaceWeights.equal());
    }

    /** Offers requests of the given service times; -1 ends the oldest running one. */
    private static void checkShortNotBlockedAndBounds(EngineQueue queue, List<Integer> serviceMillis) {
        List<RequestSpec> running = new ArrayList<>();
        int shortQueued = 0;
        for (int millis : serviceMillis) {
            if (millis > 0) {
                queue.offer(QueueRequests.request(Tier.BATCH, "w" + millis, millis), 0);
                shortQueued += millis <= SHORT_MILLIS ? 1 : 0;
            } else if (!running.isEmpty()) {
                queue.onEnded(running.remove(0).id(), 0);
            }
            for (Optional<RequestSpec> next = queue.next(0); next.isPresent(); next = queue.next(0)) {
                running.add(next.get());
                shortQueued -= isShort(next.get()) ? 1 : 0;
            }
            long shortRunning =
                    running.stream().filter(PriorityEngineQueueTest::isShort).count();
            long longMillis = (running.size() - shortRunning) * LONG_MILLIS;
            assertThat(running).hasSizeLessThanOrEqualTo(SLOTS);
            assertThat(longMillis).isLessThanOrEqualTo(WORK_MILLIS);
            assertThat(shortQueued == 0 || shortRunning >= SLOTS / 4)
                    .as("%s short requests wait while %s run", shortQueued, shortRunning)
                    .isTrue();
        }
    }

    private static boolean isShort(RequestSpec request) {
        return request.work().outputTokens() <= SHORT_MILLIS;
    }

    private static void assertFailsForSome(EngineLimits mutated) {
        assertThat(new PriorityEngineQueueTest().serviceTimes().sampleStream().limit(500))
                .anySatisfy(times -> assertThatThrownBy(() -> checkShortNotBlockedAndBounds(queue(mutated), times))
                        .isInstanceOf(AssertionError.class));
    }

    private static List<AdmissionChecks.Step> withoutPutBack(List<AdmissionChecks.Step> steps) {
        return steps.stream()
                .filter(step -> step.action() != AdmissionChecks.Action.POLL_AND_PUT_BACK)
                .toList();
    }

    /** An engine queue in front of an engine with one slot that answers at once. */
    private record EngineAsAdmission(EngineQueue queue) implements AdmissionQueue {
        @Override
        public AdmissionResult offer(RequestSpec request, long serviceMillis, long nowMillis) {
            return queue.offer(request, nowMillis);
        }

        @Override
        public Optional<RequestSpec> poll(long nowMillis) {
            Optional<RequestSpec> next = queue.next(nowMillis);
            next.ifPresent(request -> queue.onEnded(request.id(), nowMillis));
            return next;
        }

        @Override
        public void putBack(RequestSpec request, long serviceMillis) {
            throw new UnsupportedOperationException("engine queues take nothing back");
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
