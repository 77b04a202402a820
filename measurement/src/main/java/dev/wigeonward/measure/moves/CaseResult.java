package dev.wigeonward.measure.moves;

import java.util.List;

/**
 * Result of one simulated case.
 *
 * @param completedMillis time at which the new version was first allowed all requests; negative if never
 * @param verdictMillis time of the bad verdict; negative if there was none
 * @param verdictReason reason of the bad verdict, empty if there was none
 * @param badSinceMillis time from which the new version was bad and loaded; negative if it never was
 * @param largestEarlyShare largest cumulative share of a route's requests that the new version had got at any time
 *     before the first verdict
 * @param soonAfterVerdict requests to the bad version within 2 s after the verdict
 * @param laterReachable requests to the bad version later than 2 s after the verdict at entries that could be reached
 * @param laterUnreachable requests to the bad version later than 10 s after the verdict at entries that could not be
 *     reached
 * @param refusedRequests requests for which no version was allowed
 * @param shares share of all requests that the new version got, by period
 */
record CaseResult(
        CaseScript script,
        long completedMillis,
        long verdictMillis,
        String verdictReason,
        long badSinceMillis,
        double largestEarlyShare,
        long soonAfterVerdict,
        long laterReachable,
        long laterUnreachable,
        long refusedRequests,
        List<Double> shares) {
    boolean isRolledBack() {
        return verdictMillis >= 0;
    }

    /** Returns whether the verdict came although the version was not bad, or before it was. */
    boolean isFalselyRolledBack() {
        return isRolledBack() && (badSinceMillis < 0 || verdictMillis < badSinceMillis);
    }

    /** Returns whether the new version got all requests by the deadline and was not rolled back. */
    boolean isCompletedOnTime() {
        return !isRolledBack() && completedMillis >= 0 && completedMillis <= CaseScript.DEADLINE_MILLIS;
    }
}
