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

    /** Guards against shares that ignore the weight or a change of it at run time. */
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

    /** Guards against shares counted in requests instead of work. */
    @Test
    void sharesCountWorkInsteadOfRequests() {
        for (int i = 0; i < 30; i++) {
            offer(Tier.STANDARD, "long", 100);
            offer(Tier.STANDARD, "short", 10);
        }
        assertThat(pollCounts(22)).containsEntry("long", 2L).containsEntry("short", 20L);
    }

    /** Guards against capacity left idle for an absent workspace and against credit saved up while absent. */
    @Test
    void unusedShareIsLentOutAndNotSavedUp() {
        for (int i = 0; i < 40; i++) {
            offer(Tier.STANDARD, "a", 10);
        }
        assertThat(pollCounts(20)).containsEntry("a", 20L);
        for (int i = 0; i < 20; i++) {
            offer(Tier.STANDARD, "b", 10);
        }
        assertThat(pollCounts(20).get("b")).isBetween(9L, 11L);
    }

    /** Guards against displacing a request of a workspace within its share, or an old request before a new one. */
    @Test
    void newestOfWorkspaceFurthestOverItsShareIsDisplaced() {
        FairShareAdmissionQueue small = FairShareAdmissionQueue.create(4, WorkspaceWeights.equal());
        RequestSpec modest = request(Tier.BATCH, "modest", 10);
        RequestSpec newest = request(Tier.BATCH, "greedy", 10);
        Stream.of(request(Tier.BATCH, "greedy", 10), request(Tier.BATCH, "greedy", 10), newest, modest)
                .forEach(each -> small.offer(each, 10, 0));
        AdmissionResult result = small.offer(request(Tier.CRITICAL, "greedy", 10), 10, 0);
        assertThat(result).isEqualTo(new AdmissionResult.Queued(List.of(newest)));
    }

    /** Guards against a live request refused for places that dead ones hold. */
    @Test
    void expiredRequestsGiveUpTheirPlacesFirst() {
        FairShareAdmissionQueue small = FairShareAdmissionQueue.create(1, WorkspaceWeights.equal());
        RequestSpec dead = request(Tier.CRITICAL, "a", 10, 50);
        small.offer(dead, 10, 0);
        RequestSpec alive = request(Tier.BATCH, "a", 10, 1_000);
        assertThat(small.offer(alive, 10, 50)).isEqualTo(new AdmissionResult.Queued(List.of()));
        assertThat(small.poll(50)).contains(alive);
        assertThat(small.removeExpired(50)).containsExactly(dead);
    }

    /** Guards against a request that loses its turn, or a workspace charged twice, when a dispatch fails. */
    @Test
    void requestPutBackKeepsItsTurnAndIsRefunded() {
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

    /** Guards against operations linear in requests or workspaces, which take minutes at this size. */
    @Test
    @Timeout(20)
    void stillFastWithThousandsOfWorkspaces() {
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
