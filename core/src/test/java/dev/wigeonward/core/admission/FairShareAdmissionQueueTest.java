package dev.wigeonward.core.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static dev.wigeonward.core.admission.QueueRequests.request;
import static org.assertj.core.api.Assertions.assertThat;

class FairShareAdmissionQueueTest {
    private final Map<String, Integer> weights = new HashMap<>();
    private final FairShareAdmissionQueue queue =
            FairShareAdmissionQueue.create(100, workspace -> weights.getOrDefault(workspace, 1));

    /** Guards against shares that ignore the weight of a workspace or a change of the weight at run time. */
    @Test
    void workFollowsWeightsAndTheirChanges() {
        weights.put("a", 3);
        for (int i = 0; i < 40; i++) {
            offer(Tier.STANDARD, "a", 10);
            offer(Tier.STANDARD, "b", 10);
        }
        assertThat(pollCounts(20)).containsEntry("a", 15L).containsEntry("b", 5L);
        weights.put("a", 1);
        weights.put("b", 3);
        assertThat(pollCounts(20).get("b")).isBetween(14L, 16L);
    }

    /** Guards against shares that are measured in requests instead of work. */
    @Test
    void sharesCountWorkInsteadOfRequests() {
        for (int i = 0; i < 30; i++) {
            offer(Tier.STANDARD, "long", 100);
            offer(Tier.STANDARD, "short", 10);
        }
        assertThat(pollCounts(22)).containsEntry("long", 2L).containsEntry("short", 20L);
    }

    /**
     * Guards against capacity reserved for an idle workspace and against credit that a workspace accumulates while
     * idle.
     */
    @Test
    void unusedShareIsRedistributedAndNotAccumulated() {
        for (int i = 0; i < 40; i++) {
            offer(Tier.STANDARD, "a", 10);
        }
        assertThat(pollCounts(20)).containsEntry("a", 20L);
        for (int i = 0; i < 20; i++) {
            offer(Tier.STANDARD, "b", 10);
        }
        assertThat(pollCounts(20).get("b")).isBetween(9L, 11L);
    }

    /**
     * Guards against displacing a request of a workspace within its share, or an older request instead of a newer one.
     */
    @Test
    void newestOfWorkspaceMostOverItsShareIsDisplaced() {
        FairShareAdmissionQueue small = FairShareAdmissionQueue.create(4, WorkspaceWeights.equal());
        RequestSpec modest = request(Tier.BATCH, "modest", 10);
        RequestSpec newest = request(Tier.BATCH, "greedy", 10);
        Stream.of(request(Tier.BATCH, "greedy", 10), request(Tier.BATCH, "greedy", 10), newest, modest)
                .forEach(each -> small.offer(each, 10, 0));
        AdmissionResult result = small.offer(request(Tier.CRITICAL, "greedy", 10), 10, 0);
        assertThat(result).isEqualTo(new AdmissionResult.Queued(List.of(newest)));
    }

    /** Guards against refusing a request because expired requests still occupy the queue. */
    @Test
    void expiredRequestsAreRemovedBeforeRefusal() {
        FairShareAdmissionQueue small = FairShareAdmissionQueue.create(1, WorkspaceWeights.equal());
        RequestSpec expired = request(Tier.CRITICAL, "a", 10, 50);
        small.offer(expired, 10, 0);
        RequestSpec valid = request(Tier.BATCH, "a", 10, 1_000);
        assertThat(small.offer(valid, 10, 50)).isEqualTo(new AdmissionResult.Queued(List.of()));
        assertThat(small.poll(50)).contains(valid);
        assertThat(small.removeExpired(50)).containsExactly(expired);
    }

    /**
     * Guards against a failed dispatch after which the request loses its position or its workspace is charged twice.
     */
    @Test
    void requestPutBackKeepsItsPositionAndIsRefunded() {
        for (int i = 0; i < 10; i++) {
            offer(Tier.STANDARD, "a", 10);
            offer(Tier.STANDARD, "b", 10);
        }
        RequestSpec first = queue.poll(0).orElseThrow();
        queue.putBack(first, 10);
        assertThat(queue.poll(0)).contains(first);
        queue.putBack(first, 10);
        assertThat(pollCounts(10)).containsEntry("a", 5L).containsEntry("b", 5L);
    }

    /** Guards against operations that are linear in the requests or workspaces, which take minutes at this size. */
    @Test
    @Timeout(20)
    void operationsAreFastWithThousandsOfWorkspaces() {
        int workspaces = 2_500;
        int capacity = 100_000;
        FairShareAdmissionQueue large = FairShareAdmissionQueue.create(capacity, WorkspaceWeights.equal());
        for (int i = 0; i < 2 * capacity; i++) {
            Tier tier = i < capacity ? Tier.BATCH : Tier.STANDARD;
            large.offer(request(tier, "w" + i % workspaces, 1 + i % 100, 1_000_000 + i), 1 + i % 100, i);
        }
        assertThat(large.size()).isEqualTo(capacity);
        for (int i = 0; i < capacity / 2; i++) {
            assertThat(large.poll(2 * capacity)).isPresent();
        }
        assertThat(large.removeExpired(2_000_000)).hasSize(capacity / 2);
    }

    private void offer(Tier tier, String workspace, int workMillis) {
        queue.offer(request(tier, workspace, workMillis), workMillis, 0);
    }

    private Map<String, Long> pollCounts(int polls) {
        return Stream.generate(() -> queue.poll(0).orElseThrow())
                .limit(polls)
                .collect(Collectors.groupingBy(RequestSpec::workspace, Collectors.counting()));
    }
}
