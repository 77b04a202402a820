package dev.wigeonward.core.spend;

import java.util.HashMap;
import java.util.Map;

import com.google.common.base.Preconditions;

/**
 * Spend by workspace in the current period, counted by this entry and merged from the snapshots of the others, against
 * the commitments. Not thread-safe.
 */
public final class SpendLedger {
    private static final int WEIGHT_FACTOR_BEHIND_PACE = 2;

    private final String entryId;
    private SpendPeriod period;
    private Map<String, Spend> commitments = Map.of();
    private final Map<String, Spend> own = new HashMap<>();
    private final Map<String, Map<String, Spend>> othersByEntry = new HashMap<>();
    /** Sum of {@link #othersByEntry}, so that a question about a workspace takes constant time. */
    private final Map<String, Spend> others = new HashMap<>();

    private boolean restored;

    private SpendLedger(String entryId, SpendPeriod period) {
        Preconditions.checkArgument(!entryId.isEmpty(), "entryId is empty");
        this.entryId = entryId;
        this.period = period;
    }

    /** Returns an empty ledger of an entry. */
    public static SpendLedger create(String entryId, SpendPeriod period) {
        return new SpendLedger(entryId, period);
    }

    /** Replaces the commitments by workspace; zero tokens or zero cost means that none are committed. */
    public void setCommitments(Map<String, Spend> byWorkspace) {
        commitments = Map.copyOf(byWorkspace);
    }

    /** Starts a new period with nothing spent. */
    public void startPeriod(SpendPeriod next) {
        period = next;
        own.clear();
        othersByEntry.clear();
        others.clear();
        restored = false;
    }

    /** Counts the usage of an answer. */
    public void record(String workspace, Spend usage) {
        own.merge(workspace, usage, Spend::plus);
    }

    /** Returns the totals of this entry, to be written under its key. */
    public SpendSnapshot snapshot() {
        return new SpendSnapshot(period.name(), entryId, own);
    }

    /**
     * Takes over what an earlier process of this entry wrote in the period and returns whether it counted. It counts
     * once, and must be read before the first snapshot of this process is written over it.
     */
    public boolean restore(SpendSnapshot stored) {
        Preconditions.checkArgument(stored.entryId().equals(entryId), "snapshot is of entry %s", stored.entryId());
        if (restored || !stored.period().equals(period.name())) {
            return false;
        }
        restored = true;
        stored.byWorkspace().forEach(this::record);
        return true;
    }

    /** Takes over the totals of another entry; older and repeated snapshots and other periods change nothing. */
    public void merge(SpendSnapshot snapshot) {
        if (snapshot.entryId().equals(entryId) || !snapshot.period().equals(period.name())) {
            return;
        }
        Map<String, Spend> known = othersByEntry.computeIfAbsent(snapshot.entryId(), id -> new HashMap<>());
        snapshot.byWorkspace().forEach((workspace, total) -> {
            Spend before = known.getOrDefault(workspace, Spend.NONE);
            Spend after = before.max(total);
            known.put(workspace, after);
            others.merge(workspace, after.minus(before), Spend::plus);
        });
    }

    /** Returns the spend of the workspace in the period, as far as known. */
    public Spend spent(String workspace) {
        return own.getOrDefault(workspace, Spend.NONE).plus(others.getOrDefault(workspace, Spend.NONE));
    }

    /** Returns whether the workspace has spent less than the part of its commitment that the time passed stands for. */
    public boolean isBehindPace(String workspace, long nowMillis) {
        Spend committed = commitments.getOrDefault(workspace, Spend.NONE);
        Spend spent = spent(workspace);
        double elapsedShare = period.elapsedShare(nowMillis);
        return spent.tokens() < committed.tokens() * elapsedShare
                || spent.costMicros() < committed.costMicros() * elapsedShare;
    }

    /** Returns the weight within a tier: doubled while the workspace is behind its pace. */
    public int weight(String workspace, int configuredWeight, long nowMillis) {
        return isBehindPace(workspace, nowMillis) ? configuredWeight * WEIGHT_FACTOR_BEHIND_PACE : configuredWeight;
    }
}
