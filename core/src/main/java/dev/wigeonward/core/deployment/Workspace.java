package dev.wigeonward.core.deployment;

import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;

import com.google.common.base.Preconditions;

/**
 * A workspace that shares the upstreams with others and is identified by its keys.
 *
 * @param priority priority that overrides the one of the route, if given
 * @param ratePerSecond usage cap over all entries together, 0 for no cap
 * @param burst usage allowed at once in excess of the rate
 * @param countsTokens whether the cap counts tokens instead of requests
 * @param defaultTokens tokens counted for a request that states none
 * @param weight share of contended engine time relative to that of the others, a positive number, if given
 */
public record Workspace(
        String name,
        Set<String> keys,
        OptionalInt priority,
        long ratePerSecond,
        long burst,
        boolean countsTokens,
        long defaultTokens,
        OptionalDouble weight) {
    public Workspace {
        keys = Set.copyOf(keys);
        Preconditions.checkArgument(
                weight.isEmpty() || weight.getAsDouble() > 0 && Double.isFinite(weight.getAsDouble()),
                "weight of workspace %s is %s, expected a positive number",
                name,
                weight);
    }

    /**
     * Returns the share of contended engine time: the given weight, else the usage cap, else 1. A cap in tokens counts
     * as one in requests of the default tokens, so that both units compare.
     */
    public double shareWeight() {
        double requestsPerSecond =
                countsTokens && defaultTokens > 0 ? (double) ratePerSecond / defaultTokens : ratePerSecond;
        return weight.orElse(requestsPerSecond > 0 ? requestsPerSecond : 1);
    }

    /** Returns the usage that a request counts against the usage cap; 0 tokens mean that it states none. */
    public long usageOf(long tokens) {
        if (!countsTokens) {
            return 1;
        }
        return tokens > 0 ? tokens : defaultTokens;
    }
}
