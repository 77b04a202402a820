package dev.wigeonward.measure.goodput;

import com.google.common.base.Preconditions;

/**
 * Demand on the engines.
 *
 * @param load offered work as a multiple of the capacity
 * @param highestTierShare share of the highest tier in the requests
 * @param burstFactor factor on the rate of arrivals during the burst
 */
record Demand(double load, double highestTierShare, double burstFactor) {
    Demand {
        Preconditions.checkArgument(load > 0, "load is %s", load);
        Preconditions.checkArgument(
                highestTierShare > 0 && highestTierShare < 1, "highestTierShare is %s", highestTierShare);
        Preconditions.checkArgument(burstFactor >= 1, "burstFactor is %s", burstFactor);
    }

    /** Returns a demand whose highest tier stays under 90% of the capacity during the burst at three times the load. */
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
