package dev.wigeonward.gateway.exchange;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import dev.wigeonward.core.cap.WorkspaceUsageCap;
import dev.wigeonward.core.deployment.Workspace;

/** Usage caps of all tenants, with the state that this entry knows. Runs on the event loop. */
public final class WorkspaceCaps {
    /**
     * Part of the tolerated overrun that is added to the capacity of a cap. The rest covers entries that are cut off,
     * reports that are in transit, and requests larger than the remaining usage.
     */
    private static final double TOLERANCE_IN_CAPACITY = 0.5;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private PathSettings settings;
    private final Map<String, WorkspaceUsageCap> caps = new HashMap<>();
    private int currentEntries = 1;
    private int knownEntries = 1;

    WorkspaceCaps(PathSettings settings) {
        this.settings = settings;
    }

    void settings(PathSettings newer) {
        settings = newer;
    }

    /** Replaces the capped tenants; usage of tenants that remain is kept. */
    void declare(List<Workspace> tenants, long nowMillis) {
        Map<String, WorkspaceUsageCap> previous = new HashMap<>(caps);
        caps.clear();
        for (Workspace tenant : tenants) {
            if (tenant.ratePerSecond() <= 0) {
                continue;
            }
            WorkspaceUsageCap cap = previous.get(tenant.name());
            if (cap == null) {
                cap = WorkspaceUsageCap.create(tenant.ratePerSecond(), capacity(tenant), knownEntries, nowMillis);
                cap.setEntryCounts(currentEntries, knownEntries, nowMillis);
            } else {
                cap.setLimits(tenant.ratePerSecond(), capacity(tenant), nowMillis);
            }
            caps.put(tenant.name(), cap);
        }
    }

    /**
     * Returns the capacity of a tenant's cap. A cap shared between entries refuses some usage that a central one would
     * admit, so the capacity includes part of the tolerated overrun.
     */
    private long capacity(Workspace tenant) {
        double window = tenant.ratePerSecond() * settings.capWindowMillis() / MILLIS_PER_SECOND + tenant.burst();
        double tolerated = settings.capOverrunRatio() * window + settings.capMargin();
        return Math.max(1, tenant.burst() + (long) (TOLERANCE_IN_CAPACITY * tolerated));
    }

    /** Sets the numbers of entries with a current state and of all knownEntries entries, both including this one. */
    void entries(int newCurrentEntries, int newKnownEntries, long nowMillis) {
        currentEntries = newCurrentEntries;
        knownEntries = newKnownEntries;
        caps.values().forEach(cap -> cap.setEntryCounts(currentEntries, knownEntries, nowMillis));
    }

    void onPeer(String peer, long incarnation, Map<String, Usage> usages, long nowMillis) {
        caps.forEach((tenant, cap) -> {
            Usage usage = usages.get(tenant);
            if (usage != null) {
                cap.onPeerReport(peer, incarnation, usage.total(), usage.remaining(), nowMillis);
            }
        });
    }

    /** Discards the usage that a peer reported. */
    void forget(String peer) {
        caps.values().forEach(cap -> cap.removePeer(peer));
    }

    /**
     * Counts the usage and returns 0 if the tenant's cap allows it, otherwise returns the milliseconds until it does.
     */
    long acquire(Workspace tenant, long usage, long nowMillis) {
        WorkspaceUsageCap cap = caps.get(tenant.name());
        if (cap == null || cap.tryAcquire(usage, nowMillis)) {
            return 0;
        }
        return Math.max(1, cap.millisUntilAvailable());
    }

    /** Credits the usage of a request that did not run to the tenant's cap. */
    void refund(Workspace tenant, long usage) {
        WorkspaceUsageCap cap = caps.get(tenant.name());
        if (cap != null) {
            cap.refund(usage);
        }
    }

    Map<String, Usage> usages(long nowMillis) {
        Map<String, Usage> usages = new HashMap<>();
        caps.forEach((tenant, cap) -> usages.put(tenant, new Usage(cap.totalUsage(), cap.level(nowMillis))));
        return usages;
    }

    List<String> describe(long nowMillis) {
        List<String> lines = new ArrayList<>();
        caps.forEach((tenant, cap) ->
                lines.add("%s used_total=%.0f left=%.0f".formatted(tenant, cap.totalUsage(), cap.level(nowMillis))));
        lines.sort(null);
        return lines;
    }

    /**
     * Usage of one tenant at one entry.
     *
     * @param total usage admitted since the entry's start
     * @param remaining remaining usage by the entry's estimate
     */
    public record Usage(double total, double remaining) {}
}
