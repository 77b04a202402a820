package dev.wigeonward.gateway.exchange;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import dev.wigeonward.core.deployment.Route;
import dev.wigeonward.core.rollout.VersionConstraint;
import dev.wigeonward.core.schedule.PromptPrefix;
import dev.wigeonward.core.schedule.ScheduledRequest;

/**
 * Factory for the {@link ScheduledRequest}s that the schedulers compare, created from admitted requests. Runs on the
 * event loop.
 */
final class ScheduledRequestFactory {
    /** Weight of the workspace's priority in a rank, so that it takes precedence over the priority of the route. */
    private static final int WORKSPACE_RANK_WEIGHT = 1_000;
    /** Shortest time that a caller of a route states on its first attempt, as a part of the longest one. */
    private static final double MIN_DEADLINE_PART = 0.84;

    /** Part of a prompt that two requests must share to choose the same upstream. */
    private static final double MIN_SHARED_PART = 0.25;

    private final Map<String, Long> longestDeadlines = new HashMap<>();

    /** Returns a scheduled request for the first or a further run of a request. */
    ScheduledRequest of(
            CallerRequest request, Admission.Admitted admitted, long deadlineAtMillis, VersionConstraint versions) {
        Route route = admitted.route();
        int workspaceRank = admitted.workspace()
                .map(workspace -> workspace.priority().orElse(0))
                .orElse(0);
        int rank = workspaceRank * WORKSPACE_RANK_WEIGHT + route.priority();
        long objective = Math.max(1, route.objectiveMillis() > 0 ? route.objectiveMillis() : route.timeoutMillis());
        ScheduledRequest.Builder builder = ScheduledRequest.builder(
                        route.name() + "/" + workspaceRank, rank, objective, request.receivedAtMillis())
                .elapsedInEarlierAttempts(elapsedInEarlierAttemptsMillis(route, request))
                .deadlineAt(deadlineAtMillis)
                .prefixes(request.callerHead().prefixes())
                .sharedParts(request.callerHead().sharedParts())
                .spreadKey(spreadKey(request))
                .versions(versions);
        admitted.workspace().ifPresent(workspace -> builder.workspace(workspace.name(), workspace.shareWeight()));
        if (request.callerHead().promptTokens() > 0) {
            builder.streaming(
                    request.callerHead().promptTokens(),
                    request.callerHead().expectedOutputTokens(),
                    route.maxPauseMillis());
        }
        return builder.build();
    }

    /**
     * Returns a key that is equal for requests that share much of their prompt, so that they choose the same upstream,
     * and differs for others. The last part of a prompt commonly belongs to one request only.
     */
    private static long spreadKey(CallerRequest request) {
        List<PromptPrefix> prefixes = request.callerHead().prefixes();
        if (prefixes.isEmpty()) {
            return request.callerHead().attemptId().hashCode();
        }
        PromptPrefix whole = prefixes.get(prefixes.size() - 1);
        PromptPrefix shared = prefixes.get(Math.max(0, prefixes.size() - 2));
        return shared.tokens() >= MIN_SHARED_PART * whole.tokens() ? shared.hash() : whole.hash();
    }

    /**
     * Returns the estimated time that the caller has spent in earlier attempts, derived from its stated deadline.
     * Callers of one route state different deadlines, so only a deadline far below the longest one seen indicates an
     * earlier attempt.
     */
    private long elapsedInEarlierAttemptsMillis(Route route, CallerRequest request) {
        if (request.callerHead().deadlineMillis().isEmpty()) {
            return 0;
        }
        long statedMillis = request.callerHead().deadlineMillis().getAsLong();
        long longestMillis =
                longestDeadlines.merge(route.name(), Math.min(statedMillis, route.timeoutMillis()), Math::max);
        return Math.max(0, (long) (MIN_DEADLINE_PART * longestMillis) - statedMillis);
    }
}
