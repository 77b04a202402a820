package dev.wigeonward.core.deployment.check;

import java.util.List;

import dev.wigeonward.core.deployment.RoutingConfiguration;

/** One check of a configuration. */
@FunctionalInterface
public interface ConfigurationCheck {
    /** Returns the problems of the configuration in the order of its parts. */
    List<ConfigurationProblem> check(RoutingConfiguration configuration);

    /** Returns all checks of a configuration by itself. */
    static List<ConfigurationCheck> all() {
        return List.of(new RouteCheck(), new WorkspaceCheck(), new LimitsCheck());
    }
}
