package dev.wigeonward.core.dispatch;

import java.util.Collection;
import java.util.Optional;

import dev.wigeonward.core.request.RequestSpec;

/** Chooses the back-end version that serves a request. */
@FunctionalInterface
public interface VersionRouter {
    /**
     * Returns the version to use, or empty if none of the versions may be used.
     *
     * @param versions versions that have usable upstreams, not empty
     */
    Optional<String> select(RequestSpec request, Collection<String> versions, long nowMillis);

    /** Returns a router that takes the version that sorts first, for targets without a version move. */
    static VersionRouter first() {
        return (request, versions, nowMillis) -> versions.stream().min(String::compareTo);
    }
}
