package dev.wigeonward.gateway.exchange;

import java.util.HashMap;
import java.util.Map;

import dev.wigeonward.core.deployment.Route;
import dev.wigeonward.core.rollout.VersionBound;
import dev.wigeonward.core.schedule.Demand;

/** Turns admitted requests into what the schedulers compare. Runs on the event loop. */
final class Demands {
    /** The rank of the tenant goes before that of the route. */
    private static final int ROUTE_RANKS = 1_000;
    /** Patience of the least patient caller of a route as a part of that of the most patient one. */
    private static final double LEAST_PATIENCE_PART = 0.84;

    private final Map<String, Long> longestDeadlines = new HashMap<>();

    /** Returns a demand for the first or a further run of a request. */
    Demand of(CallerRequest request, Admission.Admitted admitted, long answerByMillis, VersionBound versions) {
        Route route = admitted.route();
        int tenantRank =
                admitted.tenant().map(tenant -> tenant.priority().orElse(0)).orElse(0);
        int rank = tenantRank * ROUTE_RANKS + route.priority();
        long objective = Math.max(1, route.objectiveMillis() > 0 ? route.objectiveMillis() : route.timeoutMillis());
        Demand.Builder builder = Demand.builder(
                        route.name() + "/" + tenantRank, rank, objective, request.receivedAtMillis())
                .elapsedBefore(elapsedBeforeMillis(route, request))
                .deadlineAt(answerByMillis)
                .versions(versions);
        if (request.caller().promptTokens() > 0) {
            builder.generating(
                    request.caller().promptTokens(), request.caller().expectedOutputTokens(), route.maxPauseMillis());
        }
        return builder.build();
    }

    /**
     * Returns how long the caller has waited in an earlier attempt, judged by the time that it states. Callers of one
     * route differ in their patience, so only a time that is far shorter than the longest one tells of a wait.
     */
    private long elapsedBeforeMillis(Route route, CallerRequest request) {
        if (request.caller().deadlineMillis().isEmpty()) {
            return 0;
        }
        long stated = request.caller().deadlineMillis().getAsLong();
        long longest = longestDeadlines.merge(route.name(), Math.min(stated, route.timeoutMillis()), Math::max);
        return Math.max(0, (long) (LEAST_PATIENCE_PART * longest) - stated);
    }
}
