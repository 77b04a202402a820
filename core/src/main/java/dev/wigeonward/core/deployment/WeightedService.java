package dev.wigeonward.core.deployment;

import com.google.common.base.Preconditions;

/** A service of a route with its weight relative to the other services of the route. */
public record WeightedService(String service, int weight) {
    public WeightedService {
        Preconditions.checkArgument(weight >= 0, "weight of service %s must not be negative, got %s", service, weight);
    }
}
