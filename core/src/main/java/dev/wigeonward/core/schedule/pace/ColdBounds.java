package dev.wigeonward.core.schedule.pace;

import com.google.common.base.Preconditions;

/**
 * Bounds on the requests that a cold upstream gets in any one second.
 *
 * @param perSecond requests that a cold upstream handles in a second
 * @param overrunRatio factor on that number up to which it does not crash
 * @param marginCount further requests allowed in a second
 */
public record ColdBounds(double perSecond, double overrunRatio, double marginCount) {
    public ColdBounds {
        Preconditions.checkArgument(
                perSecond > 0 && overrunRatio >= 0 && marginCount >= 0,
                "bounds are %s x %s + %s, expected a positive and two non-negative numbers",
                perSecond,
                overrunRatio,
                marginCount);
    }

    /** Returns the most requests of all entries in a second. */
    public int total() {
        return (int) (perSecond * overrunRatio + marginCount);
    }

    /** Returns the requests of all entries in a second that are planned if all of them know each other. */
    int planned() {
        return Math.min((int) perSecond, total());
    }

    /**
     * Returns the requests in a second that a coordinator may place for its members beyond its own part: half of those
     * that are not planned, because two entries may both take themselves for the coordinator.
     */
    int forPeersOfCoordinator() {
        return (total() - planned()) / 2;
    }

    /** Returns the most requests that one scheduler places in a second, cold or not. */
    public int perScheduler() {
        return Math.max(1, (int) (perSecond * overrunRatio));
    }
}
