package dev.wigeonward.core.rollout;

import java.util.HashMap;
import java.util.Map;

import com.google.common.base.Preconditions;

/**
 * Bounds how many requests of a route one entry sends to a new version.
 *
 * <p>Each request adds the share to the route's credit, and each request sent to the new version costs a whole one. The
 * number sent is therefore at most floor(share × requests) for a constant share, and the sum over all entries stays
 * within the share of all requests without any communication. Credit starts at 0: an entry that restarts or has only a
 * few requests of the route sends none.
 */
public final class ShareLimiter {
    /** Credit for more than this is dropped, so that a pause of the new version is not followed by a burst. */
    private static final int MAX_SAVED_REQUESTS = 4;

    private final Map<String, RouteCredits> creditsByModel = new HashMap<>();

    /**
     * Counts one request of the route and returns whether it may go to the new version.
     *
     * @param candidate whether the request would be sent to the new version; others only add to the credit
     */
    public boolean count(ModelVersion newVersion, String route, int shareBasisPoints, boolean candidate) {
        Preconditions.checkArgument(shareBasisPoints >= 0, "shareBasisPoints is %s", shareBasisPoints);
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
        credits.basisPointsByRoute.put(route, Math.min(credit, MAX_SAVED_REQUESTS * Stage.ALL_BASIS_POINTS));
        return allowed;
    }

    private record RouteCredits(String version, Map<String, Integer> basisPointsByRoute) {}
}
