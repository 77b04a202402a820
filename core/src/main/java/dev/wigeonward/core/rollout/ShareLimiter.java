package dev.wigeonward.core.rollout;

import java.util.HashMap;
import java.util.Map;

import com.google.common.base.Preconditions;

/**
 * Limiter of the number of requests of a route that one entry sends to a new version.
 *
 * <p>Each request adds the share to the route's credit, and each request sent to the new version costs one full request
 * of credit. For a constant share the number sent is therefore at most floor(share × requests), and the sum over all
 * entries stays within the share of all requests without communication between them. Credit starts at 0, so an entry
 * that has just restarted or has only a few requests of the route sends none.
 */
public final class ShareLimiter {
    /** Maximum credit, in requests, so that a pause of the new version is not followed by a burst. */
    private static final int MAX_CREDIT_REQUESTS = 4;

    private final Map<String, RouteCredits> creditsByModel = new HashMap<>();

    /**
     * Counts one request of the route and returns whether it may go to the new version.
     *
     * @param candidate whether the request would be sent to the new version; other requests only add to the credit
     */
    public boolean count(ModelVersion newVersion, String route, int shareBasisPoints, boolean candidate) {
        Preconditions.checkArgument(
                shareBasisPoints >= 0, "shareBasisPoints must not be negative, but is %s", shareBasisPoints);
        RouteCredits credits = creditsByModel.get(newVersion.model());
        if (credits == null || !credits.version.equals(newVersion.version())) {
            credits = new RouteCredits(newVersion.version(), new HashMap<>());
            creditsByModel.put(newVersion.model(), credits);
        }
        int credit = credits.basisPointsByRoute.getOrDefault(route, 0) + shareBasisPoints;
        boolean allowed = candidate && credit >= Stage.ALL_BASIS_POINTS;
        if (allowed) {
            credit -= Stage.ALL_BASIS_POINTS;
        }
        credits.basisPointsByRoute.put(route, Math.min(credit, MAX_CREDIT_REQUESTS * Stage.ALL_BASIS_POINTS));
        return allowed;
    }

    private record RouteCredits(String version, Map<String, Integer> basisPointsByRoute) {}
}
