package dev.wigeonward.measure.moves;

import java.util.List;

/**
 * What one case showed.
 *
 * @param completedMillis time at which all requests were first allowed to the new version; negative if never
 * @param verdictMillis time of the bad verdict; negative if there was none
 * @param verdictReason reason of the bad verdict, empty if there was none
 * @param badSinceMillis time from which the new version was bad and loaded; negative if it never was
 * @param largestEarlyShare largest share of a route's requests that the new version had got by any time before the
 * first     verdict
 * @param soonAfterVerdict requests to the bad version within 2 s after the verdict
 * @param laterReachable requests later than 2 s after the verdict at entries that could be reached
 * @param laterUnreachable requests later than 10 s after the verdict at entries that could not
 * @param refused requests for which there was no version
 * @param shares share of all requests that the new version got in each period
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
        long refused,
        List<Double> shares) {
    boolean isRolledBack() {
        return verdictMillis >= 0;
    }

    /** Returns whether the verdict came although the version was not bad, or before it was. */
    boolean isFalselyRolledBack() {
        return isRolledBack() && (badSinceMillis < 0 || verdictMillis < badSinceMillis);
    }

    boolean isCompletedOnTime() {
        return !isRolledBack() && completedMillis >= 0 && completedMillis <= CaseScript.DEADLINE_MILLIS;
    }
}
