package dev.wigeonward.core.deployment;

import com.google.common.base.Preconditions;

/** One of the services that share the requests of a route, with its share relative to the others. */
public record WeightedService(String service, int weight) {
    public WeightedService {
        Preconditions.checkArgument(weight >= 0, "weight of %s is %s", service, weight);
    }
}
