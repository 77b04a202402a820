package dev.wigeonward.core.schedule;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;

import dev.wigeonward.core.rollout.VersionConstraint;

/** Rules by which the upstreams of a service may run a request, apart from their load. */
final class EligibleUpstreams {
    private final Collection<UpstreamLoad> loads;
    private final VersionRestriction restriction;

    /**
     * Creates the rules for a service.
     *
     * @param loads view of its upstreams, which may change later
     */
    EligibleUpstreams(Collection<UpstreamLoad> loads, VersionRestriction restriction) {
        this.loads = loads;
        this.restriction = restriction;
    }

    /**
     * Updates the versions that must not run the request, and returns whether no upstream is left for it because of
     * them.
     */
    boolean isRefused(ScheduledRequest request, long nowMillis) {
        Set<String> refusedVersions = restriction.refusedVersions(request.sharedParts(), nowMillis);
        request.setRefusedVersions(refusedVersions);
        if (refusedVersions.isEmpty()) {
            return false;
        }
        boolean anyRefused = false;
        for (UpstreamLoad load : loads) {
            Upstream upstream = load.upstream();
            if (!load.accepting() || !request.versions().allows(upstream.version())) {
                continue;
            }
            if (!request.isRefusedBy(upstream.version())) {
                return false;
            }
            anyRefused = true;
        }
        return anyRefused;
    }

    /** Returns whether an upstream of a version that the request prefers may serve it. */
    boolean hasFirstChoice(ScheduledRequest request) {
        if (request.versions().kind() == VersionConstraint.Kind.FREE) {
            return true;
        }
        return loads.stream()
                .anyMatch(load -> load.accepting()
                        && request.versions().isFirstChoice(load.upstream().version())
                        && !request.isRefusedBy(load.upstream().version()));
    }

    /** Returns whether the upstream has a suitable version, takes new requests and is not ruled out for the request. */
    static boolean mayServe(ScheduledRequest request, UpstreamLoad load, boolean firstChoiceAvailable) {
        Upstream upstream = load.upstream();
        boolean rightVersion = firstChoiceAvailable
                ? request.versions().isFirstChoice(upstream.version())
                : request.versions().allows(upstream.version());
        return rightVersion
                && load.accepting()
                && !request.isExcluded(upstream.id())
                && !request.isRefusedBy(upstream.version());
    }

    /** Returns whether all upstreams that may serve the request are paused or have overdue output. */
    boolean noneUsable(ScheduledRequest request, boolean firstChoiceAvailable) {
        for (UpstreamLoad load : loads) {
            if (load.usable() && mayServe(request, load, firstChoiceAvailable)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the upstream with the lowest failure ratio, including paused ones. Used when all upstreams are paused:
     * they may have recovered, and only another request can show it.
     *
     * @param freeSlots free slots of an upstream that this entry may use
     */
    Optional<UpstreamLoad> findFallback(
            ScheduledRequest request, ToIntFunction<UpstreamLoad> freeSlots, long nowMillis) {
        UpstreamLoad best = null;
        boolean firstChoiceAvailable = hasFirstChoice(request);
        for (UpstreamLoad load : loads) {
            if (!mayServe(request, load, firstChoiceAvailable)
                    || load.askedForMillis(nowMillis) > 0
                    || load.returning() && load.probing()
                    || freeSlots.applyAsInt(load) <= 0) {
                continue;
            }
            if (best == null || load.failureRatio() < best.failureRatio()) {
                best = load;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns whether an upstream is left that takes new requests and that the request may be sent to. */
    boolean anyLeft(ScheduledRequest request) {
        boolean firstChoiceAvailable = hasFirstChoice(request);
        return loads.stream().anyMatch(load -> mayServe(request, load, firstChoiceAvailable));
    }

    /**
     * Returns the time until the first upstream that the request may be sent to is back, if all of them asked for time,
     * and 0 otherwise.
     */
    long returnsInMillis(ScheduledRequest request, long nowMillis) {
        boolean firstChoiceAvailable = hasFirstChoice(request);
        return loads.stream()
                .filter(load -> mayServe(request, load, firstChoiceAvailable))
                .mapToLong(load -> load.askedForMillis(nowMillis))
                .min()
                .orElse(0);
    }
}
