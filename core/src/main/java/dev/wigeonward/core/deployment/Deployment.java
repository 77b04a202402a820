package dev.wigeonward.core.deployment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the routes, tenants and caller limits that operators configure. Immutable; the time of a lookup does
 * not depend on the number of tenants.
 */
public final class Deployment {
    private static final Comparator<Route> LONGEST_PREFIX_FIRST =
            Comparator.comparingInt((Route route) -> route.prefix().length()).reversed();

    private final long version;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, Tenant> tenantsByKey = new HashMap<>();
    private final List<Tenant> tenants;
    private final CallerLimits limits;

    private Deployment(long version, List<Route> routes, List<Tenant> tenants, CallerLimits limits) {
        this.version = version;
        this.limits = limits;
        this.tenants = List.copyOf(tenants);
        for (Route route : routes) {
            routesByHost
                    .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new ArrayList<>())
                    .add(route);
        }
        routesByHost.values().forEach(list -> list.sort(LONGEST_PREFIX_FIRST));
        tenants.forEach(tenant -> tenant.keys().forEach(key -> tenantsByKey.put(key, tenant)));
    }

    /** Returns a deployment with the given version, routes, tenants and limits. */
    public static Deployment of(long version, List<Route> routes, List<Tenant> tenants, CallerLimits limits) {
        return new Deployment(version, routes, tenants, limits);
    }

    /** Returns the version number; newer deployments have higher numbers. */
    public long version() {
        return version;
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

    /** Returns the tenant that the key belongs to, or empty if the key is unknown. */
    public Optional<Tenant> tenant(String key) {
        return Optional.ofNullable(tenantsByKey.get(key));
    }

    /** Returns all tenants in the configured order. */
    public List<Tenant> tenants() {
        return tenants;
    }

    /** Returns whether any tenant is configured; without tenants callers need no key. */
    public boolean hasTenants() {
        return !tenants.isEmpty();
    }
}
