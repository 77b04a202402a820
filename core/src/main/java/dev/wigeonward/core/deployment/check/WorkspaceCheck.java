package dev.wigeonward.core.deployment.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import dev.wigeonward.core.deployment.Route;
import dev.wigeonward.core.deployment.RoutingConfiguration;
import dev.wigeonward.core.deployment.Workspace;

/** Check for workspaces that no caller can use, and for usage caps that contradict themselves. */
final class WorkspaceCheck implements ConfigurationCheck {
    @Override
    public List<ConfigurationProblem> check(RoutingConfiguration configuration) {
        List<ConfigurationProblem> problems = new ArrayList<>();
        Map<String, String> workspacesByKey = new HashMap<>();
        Set<String> names = new HashSet<>();
        for (Workspace workspace : configuration.workspaces()) {
            String place = "workspace " + workspace.name();
            if (!names.add(workspace.name())) {
                problems.add(ConfigurationProblem.error(place, "another workspace has the same name"));
            }
            if (workspace.keys().isEmpty()) {
                problems.add(ConfigurationProblem.warning(place, "has no key, so that no caller belongs to it"));
            }
            // The key itself is a secret and is not printed.
            for (String key : workspace.keys()) {
                String other = workspacesByKey.put(key, workspace.name());
                if (other != null) {
                    problems.add(ConfigurationProblem.error(place, "shares a key with workspace " + other));
                }
            }
            checkCap(workspace, place, problems);
        }
        boolean needsKeys = configuration.routes().stream().anyMatch(route -> !route.keyless());
        if (!configuration.hasWorkspaces() && needsKeys) {
            List<String> open = configuration.routes().stream()
                    .filter(route -> !route.keyless())
                    .map(Route::name)
                    .toList();
            problems.add(ConfigurationProblem.warning(
                    "workspaces", "there are none, so that callers need no key on routes " + open));
        }
        return problems;
    }

    private static void checkCap(Workspace workspace, String place, List<ConfigurationProblem> problems) {
        if (workspace.ratePerSecond() < 0 || workspace.burst() < 0 || workspace.defaultTokens() < 0) {
            problems.add(ConfigurationProblem.error(place, "rate, burst and default tokens must not be negative"));
            return;
        }
        if (workspace.ratePerSecond() == 0 && workspace.burst() > 0) {
            problems.add(ConfigurationProblem.warning(place, "has a burst but no rate, so that there is no cap"));
        }
        boolean capped = workspace.ratePerSecond() > 0;
        if (capped && workspace.usageOf(0) > workspace.burst()) {
            problems.add(ConfigurationProblem.warning(
                    place,
                    "a request that states no tokens counts " + workspace.usageOf(0) + ", more than the burst of "
                            + workspace.burst()));
        }
        if (capped && workspace.countsTokens() && workspace.defaultTokens() == 0) {
            problems.add(
                    ConfigurationProblem.warning(place, "caps tokens, but a request that states none counts nothing"));
        }
    }
}
