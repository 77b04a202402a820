package dev.wigeonward.core.rollout;

import com.google.common.base.Preconditions;

/** The unit of judgement: one route, apart for upstreams whose load is above the threshold. */
public record RouteCell(String route, boolean underLoad) {
    public RouteCell {
        Preconditions.checkArgument(!route.isEmpty(), "route is empty");
    }
}
