package dev.wigeonward.core.dispatch;

import java.util.Collection;
import java.util.Optional;

import dev.wigeonward.core.request.RequestSpec;

/** Policy that chooses the version of a target that serves a request. */
@FunctionalInterface
public interface VersionRouter {
    /**
     * Returns the version to use, or empty if none of the given versions may be used.
     *
     * @param versions versions with usable upstreams; not empty
     */
    Optional<String> select(RequestSpec request, Collection<String> versions, long nowMillis);

    /** Returns a router that selects the version that sorts first, for targets without a rollout. */
    static VersionRouter first() {
        return (request, versions, nowMillis) -> versions.stream().min(String::compareTo);
    }
}
