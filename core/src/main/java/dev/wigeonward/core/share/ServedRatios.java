package dev.wigeonward.core.share;

import java.util.HashMap;
import java.util.Map;

/** Moving averages of the part of requests that is served, for each group of requests and for all. Not thread-safe. */
public final class ServedRatios<G> {
    /** Weight of one outcome; equal for a group and for all, so that the only group has the ratio of all. */
    private static final double SMOOTHING_FACTOR = 0.03;
    /** Ratio from which a group is like one that was never refused, so that it need not be remembered. */
    private static final double FORGOTTEN_RATIO = 0.995;

    private final Map<G, Double> ratios = new HashMap<>();
    private double total = 1;

    private ServedRatios() {}

    /** Returns ratios of 1 for all groups. */
    public static <G> ServedRatios<G> create() {
        return new ServedRatios<>();
    }

    /** Records that a request of the group was served or refused. */
    public void onOutcome(G group, boolean served) {
        double outcome = served ? 1 : 0;
        total += SMOOTHING_FACTOR * (outcome - total);
        double ratio = ratio(group);
        ratio += SMOOTHING_FACTOR * (outcome - ratio);
        if (ratio > FORGOTTEN_RATIO) {
            ratios.remove(group);
        } else {
            ratios.put(group, ratio);
        }
    }

    /** Returns the part of the recent requests of the group that was served, from 0 to 1. */
    public double ratio(G group) {
        return ratios.getOrDefault(group, 1.0);
    }

    /** Returns whether the group is served less often than the given fraction of all requests. */
    public boolean isBelow(G group, double fraction) {
        return ratio(group) < fraction * total;
    }
}
