package dev.wigeonward.core.schedule.pace;

import dev.wigeonward.core.schedule.ColdStatement;

/**
 * Time until which one lifetime of an upstream counts as cold: as it states itself, and for a while after it was listed
 * or idle, because the list is seconds late. Not thread-safe.
 */
final class ColdTime {
    /** Time without any request after which an upstream may have turned cold. */
    static final long IDLE_MILLIS = 10_000;

    private final long coldStartMillis;
    private ColdStatement stated = ColdStatement.ABSENT;
    private long statedUntilMillis = Long.MIN_VALUE;
    private long assumedUntilMillis;
    private long busyAtMillis;

    /** Starts at the time at which the lifetime is listed. */
    ColdTime(long coldStartMillis, long nowMillis) {
        this.coldStartMillis = coldStartMillis;
        assume(nowMillis);
    }

    /** Records that the upstream may have turned cold unnoticed. */
    void assume(long nowMillis) {
        assumedUntilMillis = nowMillis + coldStartMillis;
        busyAtMillis = nowMillis;
    }

    /**
     * Records what the list states. A time that is listed again unchanged is an old statement and does not count from
     * now. A malformed statement counts as the time after a start.
     */
    void onListed(ColdStatement statement, long nowMillis) {
        if (statement.equals(stated) && statement.leftMillis().equals(stated.leftMillis())) {
            return;
        }
        stated = statement;
        statedUntilMillis = nowMillis + leftMillis(statement);
    }

    private long leftMillis(ColdStatement statement) {
        return statement.kind() == ColdStatement.Kind.MALFORMED
                ? coldStartMillis
                : statement.leftMillis().orElse(0);
    }

    /** Records what an answer states; it only makes the time longer, as answers may be late. */
    void onAnswered(ColdStatement statement, long nowMillis) {
        statedUntilMillis = Math.max(statedUntilMillis, nowMillis + leftMillis(statement));
    }

    /** Records the requests of all entries at the upstream, of which the given number are from peers. */
    void onLoad(int outstanding, int ofPeers, long nowMillis) {
        if (outstanding > 0) {
            busyAtMillis = nowMillis;
        } else if (nowMillis - busyAtMillis > IDLE_MILLIS) {
            assumedUntilMillis = nowMillis + coldStartMillis;
        }
        if (ofPeers > 0 && stated.kind() == ColdStatement.Kind.WARM) {
            // Peers use it and it states that it is warm, so it neither has just started nor has been idle.
            assumedUntilMillis = Math.min(assumedUntilMillis, nowMillis);
        }
    }

    boolean isCold(long nowMillis) {
        return nowMillis < statedUntilMillis || nowMillis < assumedUntilMillis;
    }
}
