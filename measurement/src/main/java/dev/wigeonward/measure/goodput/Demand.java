package dev.wigeonward.measure.goodput;

import com.google.common.base.Preconditions;

/**
 * Load offered to the engines.
 *
 * @param load offered work as a multiple of the capacity
 * @param highestTierShare share of the requests that are of the highest tier
 * @param burstFactor factor by which the arrival rate rises during the burst, 1 for no burst
 */
record Demand(double load, double highestTierShare, double burstFactor) {
    Demand {
        Preconditions.checkArgument(load > 0, "load must be positive but is %s", load);
        Preconditions.checkArgument(
                highestTierShare > 0 && highestTierShare < 1,
                "highestTierShare must be between 0 and 1 but is %s",
                highestTierShare);
        Preconditions.checkArgument(burstFactor >= 1, "burstFactor must be at least 1 but is %s", burstFactor);
    }

    /**
     * Returns a demand whose highest tier offers at most 90% of the capacity during the burst if the load is at most 3.
     */
    static Demand withBurst(double load) {
        return new Demand(load, 0.15, 2);
    }

    /** Returns a demand without a burst. */
    static Demand steady(double load, double highestTierShare) {
        return new Demand(load, highestTierShare, 1);
    }

    /** Returns the offered work of the highest tier as a share of the capacity. */
    double highestTierLoad() {
        return load * highestTierShare;
    }
}
