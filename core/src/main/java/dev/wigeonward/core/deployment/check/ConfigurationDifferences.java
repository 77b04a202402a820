package dev.wigeonward.core.deployment.check;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

import dev.wigeonward.core.deployment.Route;
import dev.wigeonward.core.deployment.RoutingConfiguration;
import dev.wigeonward.core.deployment.Workspace;

/** Differences of a configuration from the one in force. */
public final class ConfigurationDifferences {
    private ConfigurationDifferences() {}

    /** Returns the problems that a configuration has only in view of the one in force. */
    public static List<ConfigurationProblem> problems(RoutingConfiguration inForce, RoutingConfiguration next) {
        if (next.version() > inForce.version()) {
            return List.of();
        }
        return List.of(ConfigurationProblem.error(
                "version", next.version() + " is not put in force, because it must be above " + inForce.version()));
    }

    /** Returns one line for each part that is added, removed or different. Keys, which are secret, are only counted. */
    public static List<String> describe(RoutingConfiguration inForce, RoutingConfiguration next) {
        List<String> lines = new ArrayList<>();
        if (inForce.version() != next.version()) {
            lines.add("changed: version: " + inForce.version() + " -> " + next.version());
        }
        if (!inForce.limits().equals(next.limits())) {
            lines.add("changed: limits: " + inForce.limits() + " -> " + next.limits());
        }
        describe("route", routes(inForce), routes(next), lines);
        describe("workspace", workspaces(inForce), workspaces(next), lines);
        return lines;
    }

    private static void describe(String kind, Map<String, Part> before, Map<String, Part> after, List<String> lines) {
        Set<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        for (String name : names) {
            Part old = before.get(name);
            Part part = after.get(name);
            if (old == null) {
                lines.add("added: " + kind + " " + name + ": " + part.text());
            } else if (part == null) {
                lines.add("removed: " + kind + " " + name + ": " + old.text());
            } else if (!Objects.equals(old.content(), part.content())) {
                lines.add("changed: " + kind + " " + name + ": " + old.text() + " -> " + part.text());
            }
        }
    }

    /** Part of a configuration, with the text that may be shown. */
    private record Part(Object content, String text) {}

    private static Map<String, Part> routes(RoutingConfiguration configuration) {
        Map<String, Part> parts = new LinkedHashMap<>();
        for (Route route : configuration.routes()) {
            parts.put(route.name(), new Part(route, route.toString()));
        }
        return parts;
    }

    private static Map<String, Part> workspaces(RoutingConfiguration configuration) {
        Map<String, Part> parts = new LinkedHashMap<>();
        for (Workspace workspace : configuration.workspaces()) {
            String text = "keys=%d priority=%s rate=%d burst=%d counts_tokens=%s default_tokens=%d"
                    .formatted(
                            workspace.keys().size(),
                            workspace.priority().isPresent()
                                    ? Integer.toString(workspace.priority().getAsInt())
                                    : "none",
                            workspace.ratePerSecond(),
                            workspace.burst(),
                            workspace.countsTokens(),
                            workspace.defaultTokens());
            parts.put(workspace.name(), new Part(workspace, text));
        }
        return parts;
    }
}
