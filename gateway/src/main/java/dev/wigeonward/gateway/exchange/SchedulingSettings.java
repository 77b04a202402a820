package dev.wigeonward.gateway.exchange;

import com.google.common.base.Preconditions;

/**
 * Settings that choose the policies of the schedulers. A change takes effect at the next start, except that of the
 * pace.
 *
 * @param coordinationCores processor cores of this process, its weight in the choice of coordinators, or 0 if
 *     coordination is off
 * @param workspaceShares whether waiting requests go by the fair shares of their workspaces
 * @param plannedReturns whether the returns of refused callers are planned, and requests refused for their expected
 *     wait at an established rate only
 * @param pace settings of the pace of upstreams
 */
public record SchedulingSettings(
        double coordinationCores, boolean workspaceShares, boolean plannedReturns, PaceSettings pace) {
    /** Settings with the default policies. */
    public static final SchedulingSettings DEFAULT = new SchedulingSettings(0, false, false, PaceSettings.OFF);

    public SchedulingSettings {
        Preconditions.checkArgument(
                coordinationCores >= 0, "coordinationCores is %s, expected no negative number", coordinationCores);
    }

    /** Returns whether a process that runs with the other settings can apply these: only the pace may differ. */
    public boolean isReloadableFrom(SchedulingSettings other) {
        return coordinationCores == other.coordinationCores
                && workspaceShares == other.workspaceShares
                && plannedReturns == other.plannedReturns;
    }
}
