package dev.wigeonward.core.deployment;

import java.util.List;

import com.google.common.base.Preconditions;

/**
 * One route of the operators.
 *
 * @param prefix path prefix, with a slash at both ends
 * @param timeoutMillis longest time that a caller is kept waiting
 * @param objectiveMillis time within which an answer is worth most; for streams, up to the first event
 * @param maxPauseMillis longest pause between events of an answer on time, 0 for no bound
 * @param priority rank, 0 is the highest
 * @param attempts most upstreams to which one attempt of a caller is sent
 * @param open true if callers need no key
 * @param resumable true if a stream may go on at another upstream
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
        int attempts,
        boolean open,
        boolean resumable) {
    public Route {
        Preconditions.checkArgument(prefix.startsWith("/") && prefix.endsWith("/"), "prefix is %s", prefix);
        Preconditions.checkArgument(timeoutMillis > 0, "timeoutMillis is %s", timeoutMillis);
        Preconditions.checkArgument(!services.isEmpty(), "route %s has no service", name);
        services = List.copyOf(services);
    }

    /** Returns whether a request may run on a second upstream after it may have run on a first one. */
    public boolean idempotent() {
        return kind == RouteKind.SAFE || (kind == RouteKind.STREAMING && resumable);
    }

    /** Returns the service for a request, chosen by weight with a number from 0 (included) to 1 (excluded). */
    public String serviceFor(double random) {
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
