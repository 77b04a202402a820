package dev.wigeonward.standins.engine;

import com.google.common.base.Preconditions;

/**
 * Properties of an emulated engine.
 *
 * @param slots streams that run at once; more wait in the order of their arrival
 * @param cachedPrefixes prompt prefixes kept, least recently used dropped first
 * @param reportLagMillis age of load reports and cache events
 * @param crashMarker text in a prompt that ends the process; empty for none
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
        Preconditions.checkArgument(slots > 0, "slots is %s", slots);
        Preconditions.checkArgument(prefillTokensPerSecond > 0, "prefillTokensPerSecond is %s", prefillTokensPerSecond);
        Preconditions.checkArgument(decodeTokensPerSecond > 0, "decodeTokensPerSecond is %s", decodeTokensPerSecond);
    }
}
