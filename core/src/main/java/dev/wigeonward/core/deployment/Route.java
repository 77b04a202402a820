package dev.wigeonward.core.deployment;

import java.util.List;

import com.google.common.base.Preconditions;

/**
 * A route that operators configure: it maps the requests of a host and path prefix to services.
 *
 * @param prefix path prefix, with a slash at both ends
 * @param timeoutMillis maximum time that a caller waits
 * @param objectiveMillis time within which an answer has its highest value; for streams, until the first event
 * @param maxPauseMillis longest pause between two events of an answer that still counts as on time, 0 for no limit
 * @param priority priority of the requests; 0 is the highest
 * @param maxAttempts maximum number of upstreams to which one attempt of a caller is sent
 * @param keyless whether callers need no key
 * @param resumable whether a stream may be continued at another upstream
 */
public record Route(
        String name,
        String host,
        String prefix,
        RouteKind kind,
        List<WeightedService> services,
        long timeoutMillis,
        long objectiveMillis,
        long maxPauseMillis,
        int priority,
        int maxAttempts,
        boolean keyless,
        boolean resumable) {
    public Route {
        Preconditions.checkArgument(
                prefix.startsWith("/") && prefix.endsWith("/"),
                "prefix must start and end with a slash, got %s",
                prefix);
        Preconditions.checkArgument(timeoutMillis > 0, "timeoutMillis must be positive, got %s", timeoutMillis);
        Preconditions.checkArgument(!services.isEmpty(), "route %s must have at least one service", name);
        services = List.copyOf(services);
    }

    /** Returns whether a request may run on a second upstream after it may have run on a first one. */
    public boolean isIdempotent() {
        return kind == RouteKind.SAFE || (kind == RouteKind.STREAMING && resumable);
    }

    /** Returns the service for a request, selected by weight. The random number is in the range [0, 1). */
    public String selectService(double random) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        double point = random * total;
        for (WeightedService candidate : services) {
            point -= candidate.weight();
            if (point < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
