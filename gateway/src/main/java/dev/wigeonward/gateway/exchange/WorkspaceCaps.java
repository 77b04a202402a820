package dev.wigeonward.gateway.exchange;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import dev.wigeonward.core.cap.EntryGroup;
import dev.wigeonward.core.cap.WorkspaceUsageCap;
import dev.wigeonward.core.deployment.Workspace;

/** Usage caps of all workspaces, as far as this entry knows their usage. Runs on the event loop. */
public final class WorkspaceCaps {
    /**
     * Part of the tolerated overrun that is added to the capacity of a cap. The rest covers entries that are cut off,
     * reports that are in transit, and requests larger than the remaining usage.
     */
    private static final double TOLERANCE_IN_CAPACITY = 0.5;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private PathSettings settings;
    private final Map<String, WorkspaceUsageCap> caps = new HashMap<>();
    private EntryGroup entries = EntryGroup.SINGLE;

    WorkspaceCaps(PathSettings settings) {
        this.settings = settings;
    }

    void updateSettings(PathSettings newer) {
        settings = newer;
    }

    /** Replaces the capped workspaces; usage of workspaces that remain is kept. */
    void setWorkspaces(List<Workspace> workspaces, long nowMillis) {
        Map<String, WorkspaceUsageCap> previous = new HashMap<>(caps);
        caps.clear();
        for (Workspace workspace : workspaces) {
            if (workspace.ratePerSecond() <= 0) {
                continue;
            }
            WorkspaceUsageCap cap = previous.get(workspace.name());
            if (cap == null) {
                cap = WorkspaceUsageCap.create(workspace.ratePerSecond(), capacity(workspace), entries, nowMillis);
            } else {
                cap.setLimits(workspace.ratePerSecond(), capacity(workspace), nowMillis);
            }
            caps.put(workspace.name(), cap);
        }
    }

    /**
     * Returns the capacity of a workspace's usage cap. A cap shared between entries refuses some usage that a central
     * one would admit, so the capacity includes part of the tolerated overrun.
     */
    private long capacity(Workspace workspace) {
        double window = workspace.ratePerSecond() * settings.capWindowMillis() / MILLIS_PER_SECOND + workspace.burst();
        double tolerated = settings.capOverrunRatio() * window + settings.capMargin();
        return Math.max(1, workspace.burst() + (long) (TOLERANCE_IN_CAPACITY * tolerated));
    }

    /** Sets the entries that share the caps. */
    void setEntries(EntryGroup newEntries, long nowMillis) {
        entries = newEntries;
        caps.values().forEach(cap -> cap.setGroup(entries, nowMillis));
    }

    void onPeerReport(String peer, long incarnation, Map<String, Usage> usages, long nowMillis) {
        caps.forEach((workspace, cap) -> {
            Usage usage = usages.get(workspace);
            if (usage != null) {
                cap.onPeerReport(peer, incarnation, usage.total(), usage.remaining(), nowMillis);
            }
        });
    }

    /** Stops counting the usage of a peer that is not heard any more. */
    void removePeer(String peer, long nowMillis) {
        caps.values().forEach(cap -> cap.removePeer(peer, nowMillis));
    }

    /**
     * Counts the usage and returns 0 if the workspace's usage cap allows it, otherwise returns the milliseconds until
     * it does.
     */
    long acquire(Workspace workspace, long usage, long nowMillis) {
        WorkspaceUsageCap cap = caps.get(workspace.name());
        if (cap == null || cap.tryAcquire(usage, nowMillis)) {
            return 0;
        }
        return Math.max(1, cap.millisUntilAvailable());
    }

    /** Refunds the usage of a request that did not run to the workspace's usage cap. */
    void refund(Workspace workspace, long usage) {
        WorkspaceUsageCap cap = caps.get(workspace.name());
        if (cap != null) {
            cap.refund(usage);
        }
    }

    Map<String, Usage> usages(long nowMillis) {
        Map<String, Usage> usages = new HashMap<>();
        caps.forEach(
                (workspace, cap) -> usages.put(workspace, new Usage(cap.totalUsage(), cap.reportedLevel(nowMillis))));
        return usages;
    }

    List<String> describe(long nowMillis) {
        List<String> lines = new ArrayList<>();
        caps.forEach((workspace, cap) ->
                lines.add("%s used_total=%.0f left=%.0f".formatted(workspace, cap.totalUsage(), cap.level(nowMillis))));
        lines.sort(null);
        return lines;
    }

    /**
     * Usage of one workspace at one entry.
     *
     * @param total usage admitted since the entry's start
     * @param remaining remaining usage by the entry's estimate, or the largest number if it has just started
     */
    public record Usage(double total, double remaining) {}
}
