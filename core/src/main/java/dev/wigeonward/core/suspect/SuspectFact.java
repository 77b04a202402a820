package dev.wigeonward.core.suspect;

import java.util.Set;

import com.google.common.base.Preconditions;

/**
 * The upstream incarnations that died while a request ran; merged as a set union.
 *
 * @param fingerprint hash of workspace, target and body
 * @param upstreamIncarnations names of upstream incarnations; differ for each start of the same upstream
 */
public record SuspectFact(long fingerprint, Set<String> upstreamIncarnations) {
    public SuspectFact {
        upstreamIncarnations = Set.copyOf(upstreamIncarnations);
        Preconditions.checkArgument(!upstreamIncarnations.isEmpty(), "upstreamIncarnations is empty");
    }
}
