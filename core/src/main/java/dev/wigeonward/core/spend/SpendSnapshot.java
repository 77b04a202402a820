package dev.wigeonward.core.spend;

import java.util.Map;

import com.google.common.base.Preconditions;

/** Total spend by workspace that one entry recorded in a period. Totals never decrease, so writes may be repeated. */
public record SpendSnapshot(String period, String entryId, Map<String, Spend> byWorkspace) {
    public SpendSnapshot {
        Preconditions.checkArgument(!period.isEmpty(), "period must not be empty");
        Preconditions.checkArgument(!entryId.isEmpty(), "entryId must not be empty");
        byWorkspace = Map.copyOf(byWorkspace);
    }
}
