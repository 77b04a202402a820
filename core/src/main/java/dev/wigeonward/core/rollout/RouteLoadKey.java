package dev.wigeonward.core.rollout;

import com.google.common.base.Preconditions;

/** A route and load level for which evidence is counted and evaluated separately from all others. */
public record RouteLoadKey(String route, boolean underLoad) {
    public RouteLoadKey {
        Preconditions.checkArgument(!route.isEmpty(), "route must not be empty");
    }
}
