package dev.wigeonward.gateway.exchange;

import dev.wigeonward.gateway.upstream.UpstreamConnection;

/**
 * Suspension of reading from the upstream of one run while its caller does not read. What the entry observes meanwhile
 * is the speed of the caller, not that of the upstream.
 */
final class ReadingPause {
    /** Time from which a pause is logged; the buffers of the kernel cover shorter ones. */
    private static final long LOGGED_MILLIS = 500;

    private boolean paused;
    private boolean disturbed;
    private boolean slow;
    private long pausedAtMillis;
    private long totalMillis;

    /** Suspends or resumes reading and returns whether this is a change. */
    boolean set(UpstreamConnection connection, boolean nowPaused, long nowMillis) {
        if (paused == nowPaused) {
            return false;
        }
        paused = nowPaused;
        disturbed = true;
        if (nowPaused) {
            pausedAtMillis = nowMillis;
        } else {
            totalMillis += nowMillis - pausedAtMillis;
        }
        connection.setReading(!nowPaused);
        return true;
    }

    /** Returns whether reading was suspended since the last call, so that intervals between events are not usable. */
    boolean takeDisturbed() {
        boolean result = disturbed || paused;
        disturbed = false;
        return result;
    }

    /** Returns the time for which reading was suspended. */
    long totalMillis(long nowMillis) {
        return totalMillis + (paused ? nowMillis - pausedAtMillis : 0);
    }

    /** Returns once whether the caller is slow, which shows only after some time. */
    boolean becameSlow(long nowMillis) {
        boolean became = !slow && isSlow(nowMillis);
        slow |= became;
        return became;
    }

    /** Returns whether missing output may be due to the caller. */
    boolean hidesOutput(long nowMillis) {
        return paused || isSlow(nowMillis);
    }

    /** Returns whether reading was suspended for so long that the upstream may have given up for that reason. */
    boolean isSlow(long nowMillis) {
        return totalMillis(nowMillis) >= LOGGED_MILLIS;
    }
}
