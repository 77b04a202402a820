package dev.wigeonward.core.schedule;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.google.common.base.Preconditions;
import dev.wigeonward.core.rollout.VersionConstraint;

/**
 * Properties of a waiting request from which another entry can place it. Times are relative, because entries have
 * different clocks.
 *
 * @param workspace name of the caller's workspace, empty if it has none
 * @param weight weight of the workspace in fair shares
 * @param ageMillis time since the request arrived at its entry
 * @param earlierAttemptsMillis time that the caller spent in earlier attempts
 * @param deadlineLeftMillis time after which a complete answer is of no use
 * @param maxPauseMillis longest acceptable pause between two events, or 0
 * @param onlyUpstreamId the only upstream that may run the request, if there is such a restriction
 * @param zone failure domain from which the request is sent
 */
public record RequestDescription(
        String kind,
        int rank,
        String workspace,
        double weight,
        long objectiveMillis,
        long ageMillis,
        long earlierAttemptsMillis,
        long deadlineLeftMillis,
        long maxPauseMillis,
        boolean streaming,
        int promptTokens,
        double expectedOutputTokens,
        List<PromptPrefix> prefixes,
        List<Long> sharedParts,
        long spreadKey,
        Set<String> excludedUpstreamIds,
        Optional<String> onlyUpstreamId,
        VersionConstraint versions,
        String zone) {
    /** Deadlines further away than a day count as a day away, so that sums with the clock cannot overflow. */
    static final long MAX_DEADLINE_LEFT_MILLIS = 86_400_000;

    public RequestDescription {
        Preconditions.checkArgument(weight > 0, "weight is %s, expected a positive number", weight);
        Preconditions.checkArgument(
                objectiveMillis > 0, "objectiveMillis is %s, expected a positive number", objectiveMillis);
        Preconditions.checkArgument(
                ageMillis >= 0 && earlierAttemptsMillis >= 0 && maxPauseMillis >= 0 && promptTokens >= 0,
                "ageMillis, earlierAttemptsMillis, maxPauseMillis or promptTokens is negative: %s, %s, %s, %s",
                ageMillis,
                earlierAttemptsMillis,
                maxPauseMillis,
                promptTokens);
        Preconditions.checkArgument(
                deadlineLeftMillis >= 0 && deadlineLeftMillis <= MAX_DEADLINE_LEFT_MILLIS,
                "deadlineLeftMillis is %s, expected 0 to %s",
                deadlineLeftMillis,
                MAX_DEADLINE_LEFT_MILLIS);
        prefixes = List.copyOf(prefixes);
        sharedParts = List.copyOf(sharedParts);
        excludedUpstreamIds = Set.copyOf(excludedUpstreamIds);
    }
}
