package dev.wigeonward.standins.engine;

import com.google.common.base.Preconditions;

/**
 * Configuration of an emulated engine.
 *
 * @param slots number of streams that run at once; further ones wait in the order of arrival
 * @param cachedPrefixes number of cached prompt prefixes; the least recently used one is evicted first
 * @param reportLagMillis age of load reports and cache events
 * @param crashMarker text that halts the process if a prompt contains it; empty for none
 * @param checksFencing whether orders with an old fencing number are refused
 * @param loadMillis time to load a version
 */
public record EngineProfile(
        String model,
        String version,
        int slots,
        int prefillTokensPerSecond,
        int decodeTokensPerSecond,
        int cachedPrefixes,
        long reportLagMillis,
        String crashMarker,
        boolean checksFencing,
        long loadMillis) {
    public EngineProfile {
        Preconditions.checkArgument(slots > 0, "slots is %s; expected more than 0", slots);
        Preconditions.checkArgument(
                prefillTokensPerSecond > 0,
                "prefillTokensPerSecond is %s; expected more than 0",
                prefillTokensPerSecond);
        Preconditions.checkArgument(
                decodeTokensPerSecond > 0, "decodeTokensPerSecond is %s; expected more than 0", decodeTokensPerSecond);
    }
}
