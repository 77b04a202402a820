package dev.wigeonward.core.deployment;

import java.util.OptionalInt;
import java.util.Set;

/**
 * One workspace that shares the upstreams.
 *
 * @param priority rank that goes before the rank of the route, if given
 * @param ratePerSecond usage cap over all entries, 0 for none
 * @param burst usage allowed at once beyond the rate
 * @param countsTokens true if the cap counts tokens and not requests
 * @param defaultTokens usage of a request that states none
 */
public record Tenant(
        String name,
        Set<String> keys,
        OptionalInt priority,
        long ratePerSecond,
        long burst,
        boolean countsTokens,
        long defaultTokens) {
    public Tenant {
        keys = Set.copyOf(keys);
    }

    /** Returns what a request uses of the cap. */
    public long usage(long tokens) {
        if (!countsTokens) {
            return 1;
        }
        return tokens > 0 ? tokens : defaultTokens;
    }
}
