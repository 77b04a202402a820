package dev.wigeonward.core.spend;

import java.util.Map;

import com.google.common.base.Preconditions;

/** Spend that one entry counted in a period, by workspace. The totals only grow, so a repeated write is harmless. */
public record SpendSnapshot(String period, String entryId, Map<String, Spend> byWorkspace) {
    public SpendSnapshot {
        Preconditions.checkArgument(!period.isEmpty(), "period is empty");
        Preconditions.checkArgument(!entryId.isEmpty(), "entryId is empty");
        byWorkspace = Map.copyOf(byWorkspace);
    }
}
