package dev.wigeonward.core.rollout;

import java.util.HashSet;
import java.util.Set;

import com.google.common.base.Preconditions;

/**
 * Versions that one engine holds in memory.
 *
 * @param places versions that fit into the engine's memory at once
 */
public record UpstreamVersions(String upstreamId, String model, Set<String> loadedVersions, int places) {
    public UpstreamVersions {
        Preconditions.checkArgument(!upstreamId.isEmpty(), "upstreamId is empty");
        Preconditions.checkArgument(places > 0, "places is %s", places);
        loadedVersions = Set.copyOf(loadedVersions);
    }

    boolean has(String version) {
        return loadedVersions.contains(version);
    }

    boolean hasRoom() {
        return loadedVersions.size() < places;
    }

    UpstreamVersions after(OrderIntent done) {
        Set<String> versions = new HashSet<>(loadedVersions);
        switch (done.kind()) {
            case LOAD -> versions.add(done.version());
            case UNLOAD -> versions.remove(done.version());
            default -> {
                return this;
            }
        }
        return new UpstreamVersions(upstreamId, model, versions, places);
    }
}
