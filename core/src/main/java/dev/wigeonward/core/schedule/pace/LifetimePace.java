package dev.wigeonward.core.schedule.pace;

import java.util.Optional;

/** Pace of one lifetime of an upstream as one entry sees it. Not thread-safe. */
final class LifetimePace {
    /** Shortest time between two counted setbacks: one overload refuses several requests at a time. */
    private static final long SETBACK_PERIOD_MILLIS = 500;
    /** Time without work after which an entry without a part may use the upstream, the first entry in the order. */
    private static final long MIN_IDLE_MILLIS = 300;
    /** Time over which the other entries follow, so that an idle upstream does not get a request of each at once. */
    private static final long IDLE_SPREAD_MILLIS = 500;

    private final PlacementWindow window = new PlacementWindow();
    private Optional<ColdTime> coldTime = Optional.empty();
    private PaceCounts own = PaceCounts.NONE;
    private boolean paced;
    private long setbackAtMillis = Long.MIN_VALUE / 2;
    private long workedAtMillis;

    /** Starts with or without a pace; upstreams that other entries used before this one started are not paced. */
    LifetimePace(boolean paced, long nowMillis) {
        this.paced = paced;
        this.workedAtMillis = nowMillis;
    }

    Optional<ColdTime> coldTime() {
        return coldTime;
    }

    void setColdTime(Optional<ColdTime> newColdTime) {
        coldTime = newColdTime;
    }

    boolean isCold(long nowMillis) {
        return coldTime.isPresent() && coldTime.get().isCold(nowMillis);
    }

    boolean paced() {
        return paced;
    }

    /** Starts the pace anew, because the upstream has recovered or its zone is used again. */
    void restart(long nowMillis) {
        paced = true;
        own = PaceCounts.NONE;
        workedAtMillis = nowMillis;
        coldTime.ifPresent(cold -> cold.assume(nowMillis));
    }

    /** Paces an upstream that this entry took for a used one, but that a peer reports to be paced. */
    void adoptPace() {
        paced = true;
    }

    /** Returns the counts for the peers. After the pace has ended they are large enough to end it at any peer. */
    PaceCounts reported(int slots) {
        return paced
                ? own
                : new PaceCounts(Math.max(own.goodAnswers(), PaceLimit.goodAnswersToEnd(slots, own)), own.setbacks());
    }

    /** Ends the pace if the limit has reached the slots, and returns whether this is new. */
    boolean endIfReached(PaceCounts ofPeers, int slots) {
        if (!paced || PaceLimit.of(own.plus(ofPeers), slots) < slots) {
            return false;
        }
        paced = false;
        return true;
    }

    /** Records the requests of all entries at the upstream. */
    void onLoad(int outstanding, int ofPeers, long nowMillis) {
        if (outstanding > 0) {
            workedAtMillis = nowMillis;
        }
        coldTime.ifPresent(cold -> cold.onLoad(outstanding, ofPeers, nowMillis));
    }

    void onPlaced(long nowMillis) {
        window.add(nowMillis);
        onLoad(1, 0, nowMillis);
    }

    int leftSpread(int mostInWindow, long nowMillis) {
        return window.leftSpread(mostInWindow, nowMillis);
    }

    int placedInWindow(long nowMillis) {
        return window.count(nowMillis);
    }

    void onGoodAnswer() {
        if (paced) {
            own = own.withGoodAnswer();
        }
    }

    /** Counts a setback of a paced upstream; a cold one is slow for a known reason. */
    void onSetback(long nowMillis) {
        if (paced && !isCold(nowMillis) && nowMillis - setbackAtMillis >= SETBACK_PERIOD_MILLIS) {
            setbackAtMillis = nowMillis;
            own = own.withSetback();
        }
    }

    /** Returns how many requests of all entries together the upstream may have at a time. */
    int allowedToAll(PaceCounts ofPeers, int slots) {
        return paced ? PaceLimit.of(own.plus(ofPeers), slots) : slots;
    }

    /** Returns how many requests of this entry the upstream may have at a time. */
    int allowed(EntryPart part, PaceCounts ofPeers, int slots, int outstanding, long nowMillis) {
        if (!paced) {
            return slots;
        }
        int allowed = part.of(PaceLimit.of(own.plus(ofPeers), slots));
        long idleBoundMillis = MIN_IDLE_MILLIS + IDLE_SPREAD_MILLIS * part.position() / part.entries();
        boolean idle = outstanding == 0 && nowMillis - workedAtMillis >= idleBoundMillis;
        return idle ? Math.max(1, allowed) : allowed;
    }
}
