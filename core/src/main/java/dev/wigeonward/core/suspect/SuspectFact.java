package dev.wigeonward.core.suspect;

import java.util.Set;

import com.google.common.base.Preconditions;

/**
 * Set of the upstream incarnations that died while a request ran; facts on the same request merge as a set union.
 *
 * @param fingerprint hash of workspace, target and body of the request
 * @param upstreamIncarnations names of upstream incarnations, which differ for each start of the same upstream
 */
public record SuspectFact(long fingerprint, Set<String> upstreamIncarnations) {
    public SuspectFact {
        upstreamIncarnations = Set.copyOf(upstreamIncarnations);
        Preconditions.checkArgument(!upstreamIncarnations.isEmpty(), "upstreamIncarnations is empty");
    }
}
