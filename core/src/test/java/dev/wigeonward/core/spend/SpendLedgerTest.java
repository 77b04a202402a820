package dev.wigeonward.core.spend;

import java.util.Map;

import dev.wigeonward.core.admission.FairShareAdmissionQueue;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;
import org.junit.jupiter.api.Test;

import static dev.wigeonward.core.admission.QueueRequests.request;
import static org.assertj.core.api.Assertions.assertThat;

class SpendLedgerTest {
    private static final SpendPeriod PERIOD = new SpendPeriod("2026-12", 0, 1_000);

    private final SpendLedger ledger = SpendLedger.create("entry-1", PERIOD);

    /**
     * Guards against a pace check that ignores the elapsed time, the tokens or the cost, or that treats workspaces
     * without a commitment as behind.
     */
    @Test
    void behindPaceFollowsElapsedShareOfTokensAndCost() {
        ledger.setCommitments(Map.of("tokens", new Spend(100, 0), "cost", new Spend(0, 100)));
        ledger.record("tokens", new Spend(50, 0));
        ledger.record("cost", new Spend(0, 50));
        assertThat(ledger.isBehindPace("tokens", 500)).isFalse();
        assertThat(ledger.isBehindPace("tokens", 511)).isTrue();
        assertThat(ledger.isBehindPace("cost", 500)).isFalse();
        assertThat(ledger.isBehindPace("cost", 511)).isTrue();
        assertThat(ledger.isBehindPace("uncommitted", 999)).isFalse();
    }

    /** Guards against spend that is counted twice when a snapshot is repeated, late, of another period or its own. */
    @Test
    void mergeCountsEachSnapshotOnce() {
        ledger.record("a", new Spend(1, 10));
        SpendSnapshot newer = new SpendSnapshot("2026-12", "entry-2", Map.of("a", new Spend(5, 50)));
        ledger.merge(newer);
        ledger.merge(new SpendSnapshot("2026-12", "entry-2", Map.of("a", new Spend(3, 30))));
        ledger.merge(newer);
        ledger.merge(ledger.snapshot());
        ledger.merge(new SpendSnapshot("2026-11", "entry-3", Map.of("a", new Spend(9, 90))));
        assertThat(ledger.spendOf("a")).isEqualTo(new Spend(6, 60));
    }

    /** Guards against spend that is lost when an entry restarts, or added twice when its snapshot is read again. */
    @Test
    void restoreAddsStoredTotalsOnce() {
        ledger.record("a", new Spend(1, 10));
        SpendSnapshot stored = new SpendSnapshot("2026-12", "entry-1", Map.of("a", new Spend(5, 50)));
        assertThat(ledger.restore(stored)).isTrue();
        assertThat(ledger.restore(stored)).isFalse();
        assertThat(ledger.snapshot().byWorkspace()).containsEntry("a", new Spend(6, 60));
        ledger.startPeriod(new SpendPeriod("2027-01", 1_000, 2_000));
        assertThat(ledger.spendOf("a")).isEqualTo(Spend.ZERO);
    }

    /** Guards against a weight that puts a workspace before a higher tier or has no effect within its own tier. */
    @Test
    void weightBehindPaceDoublesWithinTierOnly() {
        ledger.setCommitments(Map.of("behind", new Spend(100, 0)));
        FairShareAdmissionQueue queue =
                FairShareAdmissionQueue.create(100, workspace -> ledger.weight(workspace, 1, 500));
        for (int i = 0; i < 20; i++) {
            queue.offer(request(Tier.BATCH, "behind", 10), 10, 0);
            queue.offer(request(Tier.BATCH, "other", 10), 10, 0);
        }
        RequestSpec higher = request(Tier.STANDARD, "other", 10);
        queue.offer(higher, 10, 0);
        assertThat(queue.poll(0)).contains(higher);
        int behind = 0;
        for (int i = 0; i < 15; i++) {
            behind += queue.poll(0).orElseThrow().workspace().equals("behind") ? 1 : 0;
        }
        assertThat(behind).isEqualTo(10);
    }
}
