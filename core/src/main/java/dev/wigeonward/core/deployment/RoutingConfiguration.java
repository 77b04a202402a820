package dev.wigeonward.core.deployment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the routes, workspaces and caller limits that operators configure. Immutable; the time of a lookup
 * does not depend on the number of workspaces.
 */
public final class RoutingConfiguration {
    private static final Comparator<Route> LONGEST_PREFIX_FIRST =
            Comparator.comparingInt((Route route) -> route.prefix().length()).reversed();

    private final long version;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, Workspace> workspacesByKey = new HashMap<>();
    private final List<Route> routes;
    private final List<Workspace> workspaces;
    private final CallerLimits limits;
    private final Map<String, ColdStart> coldStarts;

    private RoutingConfiguration(
            long version,
            List<Route> routes,
            List<Workspace> workspaces,
            CallerLimits limits,
            Map<String, ColdStart> coldStarts) {
        this.coldStarts = Map.copyOf(coldStarts);
        this.version = version;
        this.limits = limits;
        this.routes = List.copyOf(routes);
        this.workspaces = List.copyOf(workspaces);
        for (Route route : routes) {
            routesByHost
                    .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new ArrayList<>())
                    .add(route);
        }
        routesByHost.values().forEach(list -> list.sort(LONGEST_PREFIX_FIRST));
        workspaces.forEach(workspace -> workspace.keys().forEach(key -> workspacesByKey.put(key, workspace)));
    }

    /** Returns a configuration with the given version, routes, workspaces and limits. */
    public static RoutingConfiguration of(
            long version, List<Route> routes, List<Workspace> workspaces, CallerLimits limits) {
        return new RoutingConfiguration(version, routes, workspaces, limits, Map.of());
    }

    /** Returns a configuration with the given contents, in which upstreams of some services are slow at first. */
    public static RoutingConfiguration of(
            long version,
            List<Route> routes,
            List<Workspace> workspaces,
            CallerLimits limits,
            Map<String, ColdStart> coldStarts) {
        return new RoutingConfiguration(version, routes, workspaces, limits, coldStarts);
    }

    /** Returns the version number; newer configurations have higher numbers. */
    public long version() {
        return version;
    }

    /** Returns the services whose upstreams are slow when they start, by name. */
    public Map<String, ColdStart> coldStarts() {
        return coldStarts;
    }

    /** Returns the limits on callers. */
    public CallerLimits limits() {
        return limits;
    }

    /** Returns the route of the host with the longest prefix that matches the path, or empty if none matches. */
    public Optional<Route> route(String host, String path) {
        List<Route> candidates = routesByHost.get(host.toLowerCase(Locale.ROOT));
        if (candidates == null) {
            return Optional.empty();
        }
        for (Route route : candidates) {
            if (path.startsWith(route.prefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns the workspace that the key belongs to, or empty if the key is unknown. */
    public Optional<Workspace> workspace(String key) {
        return Optional.ofNullable(workspacesByKey.get(key));
    }

    /** Returns all routes in the configured order. */
    public List<Route> routes() {
        return routes;
    }

    /** Returns all workspaces in the configured order. */
    public List<Workspace> workspaces() {
        return workspaces;
    }

    /** Returns whether any workspace is configured; without workspaces callers need no key. */
    public boolean hasWorkspaces() {
        return !workspaces.isEmpty();
    }
}
