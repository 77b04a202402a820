package dev.wigeonward.core.rollout;

import java.util.HashSet;
import java.util.Set;

import com.google.common.base.Preconditions;

/**
 * The versions that one upstream's engine holds in memory.
 *
 * @param maxVersions maximum number of versions that fit into the engine's memory at once
 */
public record UpstreamVersions(String upstreamId, String model, Set<String> loadedVersions, int maxVersions) {
    public UpstreamVersions {
        Preconditions.checkArgument(!upstreamId.isEmpty(), "upstreamId must not be empty");
        Preconditions.checkArgument(
                maxVersions > 0, "maxVersions of upstream %s must be positive, but is %s", upstreamId, maxVersions);
        loadedVersions = Set.copyOf(loadedVersions);
    }

    boolean hasLoaded(String version) {
        return loadedVersions.contains(version);
    }

    boolean hasRoom() {
        return loadedVersions.size() < maxVersions;
    }

    /** Returns the versions that the engine holds after the order is done. */
    UpstreamVersions afterOrder(OrderIntent done) {
        Set<String> versions = new HashSet<>(loadedVersions);
        switch (done.kind()) {
            case LOAD -> versions.add(done.version());
            case UNLOAD -> versions.remove(done.version());
            default -> {
                return this;
            }
        }
        return new UpstreamVersions(upstreamId, model, versions, maxVersions);
    }
}
