package dev.wigeonward.core.suspect;

import com.google.common.base.Preconditions;

/**
 * Unplanned end of an upstream while it began to answer a request.
 *
 * @param upstreamLifetime name of the lifetime of the upstream that ended
 * @param fingerprint hash of the whole request, which differs for requests that share only a part
 * @param ageMillis time since the end
 */
public record UpstreamCrash(String upstreamLifetime, long fingerprint, long ageMillis) {
    public UpstreamCrash {
        Preconditions.checkArgument(!upstreamLifetime.isEmpty(), "upstreamLifetime is empty");
        Preconditions.checkArgument(ageMillis >= 0, "ageMillis is %s, expected no negative number", ageMillis);
    }
}
