package dev.wigeonward.core.deployment;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A workspace that shares the upstreams with others and is identified by its keys.
 *
 * @param priority priority that overrides the one of the route, if given
 * @param ratePerSecond usage cap over all entries together, 0 for no cap
 * @param burst usage allowed at once in excess of the rate
 * @param countsTokens whether the cap counts tokens instead of requests
 * @param defaultTokens tokens counted for a request that states none
 */
public record Workspace(
        String name,
        Set<String> keys,
        OptionalInt priority,
        long ratePerSecond,
        long burst,
        boolean countsTokens,
        long defaultTokens) {
    public Workspace {
        keys = Set.copyOf(keys);
    }

    /** Returns the usage that a request counts against the usage cap; 0 tokens mean that it states none. */
    public long usageOf(long tokens) {
        if (!countsTokens) {
            return 1;
        }
        return tokens > 0 ? tokens : defaultTokens;
    }
}
