package dev.wigeonward.core.spend;

import java.util.HashMap;
import java.util.Map;

import com.google.common.base.Preconditions;

/**
 * Ledger of the spend by workspace in the current period and of the commitments. The spend consists of what this entry
 * recorded and of the merged snapshots of the other entries. Not thread-safe.
 */
public final class SpendLedger {
    private static final int BEHIND_PACE_WEIGHT_FACTOR = 2;

    private final String entryId;
    private SpendPeriod period;
    private Map<String, Spend> commitments = Map.of();
    private final Map<String, Spend> own = new HashMap<>();
    private final Map<String, Map<String, Spend>> othersByEntry = new HashMap<>();
    /** Sum of {@link #othersByEntry} by workspace, so that {@link #spendOf} takes constant time. */
    private final Map<String, Spend> othersTotal = new HashMap<>();

    /** Whether a stored snapshot of this entry was added in the current period. */
    private boolean restored;

    private SpendLedger(String entryId, SpendPeriod period) {
        Preconditions.checkArgument(!entryId.isEmpty(), "entryId must not be empty");
        this.entryId = entryId;
        this.period = period;
    }

    /** Returns an empty ledger for an entry and a period. */
    public static SpendLedger create(String entryId, SpendPeriod period) {
        return new SpendLedger(entryId, period);
    }

    /** Returns the entry whose spend this ledger records. */
    public String entryId() {
        return entryId;
    }

    /** Replaces the commitments of all workspaces; zero tokens or zero cost means that none are committed. */
    public void setCommitments(Map<String, Spend> byWorkspace) {
        commitments = Map.copyOf(byWorkspace);
    }

    /** Starts a new period and clears the spend of all entries. */
    public void startPeriod(SpendPeriod next) {
        period = next;
        own.clear();
        othersByEntry.clear();
        othersTotal.clear();
        restored = false;
    }

    /** Adds the usage of an answer to the spend that this entry recorded. */
    public void record(String workspace, Spend usage) {
        own.merge(workspace, usage, Spend::plus);
    }

    /** Returns the totals recorded by this entry, to be stored under its key. */
    public SpendSnapshot snapshot() {
        return new SpendSnapshot(period.name(), entryId, own);
    }

    /**
     * Adds the totals that an earlier process of this entry stored in the current period, and returns whether they were
     * added. They are added at most once per period. The stored snapshot must be read before this process overwrites it
     * with its first own snapshot.
     */
    public boolean restore(SpendSnapshot stored) {
        Preconditions.checkArgument(
                stored.entryId().equals(entryId),
                "snapshot to restore must be of entry %s, got %s",
                entryId,
                stored.entryId());
        if (restored || !stored.period().equals(period.name())) {
            return false;
        }
        restored = true;
        stored.byWorkspace().forEach(this::record);
        return true;
    }

    /**
     * Merges the totals of another entry by taking the larger value of each, so that older and repeated snapshots have
     * no effect. Snapshots of other periods and of this entry are ignored.
     */
    public void merge(SpendSnapshot snapshot) {
        if (snapshot.entryId().equals(entryId) || !snapshot.period().equals(period.name())) {
            return;
        }
        Map<String, Spend> known = othersByEntry.computeIfAbsent(snapshot.entryId(), id -> new HashMap<>());
        snapshot.byWorkspace().forEach((workspace, total) -> {
            Spend before = known.getOrDefault(workspace, Spend.ZERO);
            Spend after = before.max(total);
            known.put(workspace, after);
            othersTotal.merge(workspace, after.minus(before), Spend::plus);
        });
    }

    /** Returns the spend of the workspace in the current period that this entry knows of. */
    public Spend spendOf(String workspace) {
        return own.getOrDefault(workspace, Spend.ZERO).plus(othersTotal.getOrDefault(workspace, Spend.ZERO));
    }

    /**
     * Returns whether the tokens or the cost spent by the workspace are below the share of its commitment that
     * corresponds to the elapsed share of the period.
     */
    public boolean isBehindPace(String workspace, long nowMillis) {
        Spend committed = commitments.getOrDefault(workspace, Spend.ZERO);
        Spend spent = spendOf(workspace);
        double elapsedShare = period.elapsedShare(nowMillis);
        return spent.tokens() < committed.tokens() * elapsedShare
                || spent.costMicros() < committed.costMicros() * elapsedShare;
    }

    /** Returns the weight of the workspace within a tier: the configured weight, doubled while it is behind pace. */
    public int weight(String workspace, int configuredWeight, long nowMillis) {
        return isBehindPace(workspace, nowMillis) ? configuredWeight * BEHIND_PACE_WEIGHT_FACTOR : configuredWeight;
    }
}
