package dev.wigeonward.core.cap;

import java.util.HashMap;
import java.util.Map;

import com.google.common.base.Preconditions;

/**
 * Usage cap of one workspace as seen by one entry: a token bucket for all entries together. Entries report their
 * cumulative usage to each other, and each subtracts it from its own bucket. The usage of peers between two reports is
 * estimated from their recent rate. An entry that receives no reports uses only a fraction of an equal share. Not
 * thread-safe.
 */
public final class WorkspaceUsageCap {
    /** Time constant of the moving average of a peer's usage rate, in milliseconds. */
    private static final double RATE_TIME_CONSTANT_MILLIS = 1_000;
    /** Time without a report after which a peer counts as not heard; until then its last rate is assumed to go on. */
    private static final long MAX_SILENCE_MILLIS = 1_500;
    /** Level that an entry reports while it has just started and does not know the real one. */
    private static final double UNKNOWN_LEVEL = Long.MAX_VALUE;
    /** Time after its start within which an entry adopts the level of a peer that knows it. */
    private static final long FRESH_MILLIS = 2_000;
    /** Time after which a caller may ask again if this entry must not use the cap at all. */
    private static final long NO_SHARE_RETRY_MILLIS = 1_000;

    private double ratePerSecond;
    private double capacity;
    private double fraction;
    private double level;
    private double totalUsage;
    private boolean levelAdopted;
    private final long startedAtMillis;
    private long updatedAtMillis;
    private final Map<String, PeerUsage> peers = new HashMap<>();

    private WorkspaceUsageCap(long ratePerSecond, long capacity, EntryGroup group, long nowMillis) {
        this.ratePerSecond = ratePerSecond;
        this.capacity = capacity;
        this.fraction = group.budgetFraction();
        this.startedAtMillis = nowMillis;
        this.updatedAtMillis = nowMillis;
        // A restarted entry may have used its share shortly before, so it starts with the share of one second.
        this.level = Math.min(capacity, ratePerSecond) * fraction;
    }

    /**
     * Returns the cap of an entry that has not received a report yet.
     *
     * @param ratePerSecond usage allowed per second, over all entries
     * @param capacity usage allowed in one burst, over all entries
     * @param group entries that this entry hears
     */
    public static WorkspaceUsageCap create(long ratePerSecond, long capacity, EntryGroup group, long nowMillis) {
        Preconditions.checkArgument(ratePerSecond > 0, "ratePerSecond must be positive but was %s", ratePerSecond);
        Preconditions.checkArgument(capacity > 0, "capacity must be positive but was %s", capacity);
        return new WorkspaceUsageCap(ratePerSecond, capacity, group, nowMillis);
    }

    /** Replaces the limits; usage recorded before still counts. */
    public void setLimits(long newRatePerSecond, long newCapacity, long nowMillis) {
        refill(nowMillis);
        ratePerSecond = newRatePerSecond;
        capacity = newCapacity;
        level = Math.max(-capacity, Math.min(level, capacity * fraction));
    }

    /**
     * Sets the group of entries that share this entry's part of the cap. A smaller part takes its part of the level
     * along. A larger one starts with the level as it is, because the entries that join have used their own parts;
     * entries that have just started together have not.
     */
    public void setGroup(EntryGroup group, long nowMillis) {
        refill(nowMillis);
        double newFraction = group.budgetFraction();
        if (level > 0 && fraction > 0 && (newFraction < fraction || isFresh(nowMillis))) {
            level *= newFraction / fraction;
        }
        fraction = newFraction;
    }

    /**
     * Subtracts the peer's usage since its previous report from the level and updates the estimate of its rate. The
     * first level that an entry hears after its start replaces its own instead. Usage from before a peer is heard, or
     * heard again, is not subtracted: it came from the part that its group had. That of peers which have just started
     * as well is subtracted.
     *
     * @param incarnation identifier of the peer's process lifetime; its cumulative usage starts at 0 in each lifetime
     * @param peerTotalUsage usage that the peer has admitted in this lifetime
     * @param peerLevel level of the bucket as reported by the peer
     */
    public void onPeerReport(String peer, long incarnation, double peerTotalUsage, double peerLevel, long nowMillis) {
        refill(nowMillis);
        boolean peerKnowsLevel = peerLevel < UNKNOWN_LEVEL;
        if (isFresh(nowMillis) && peerKnowsLevel) {
            // The peer's level includes the usage before this entry started.
            levelAdopted = true;
            level = Math.min(peerLevel, capacity * fraction);
            peers.put(peer, new PeerUsage(incarnation, peerTotalUsage, 0, nowMillis));
            return;
        }
        PeerUsage last = peers.get(peer);
        double usageBefore = last != null && last.incarnation == incarnation ? last.totalUsage : 0;
        boolean counts = last != null || isFresh(nowMillis);
        double newUsage = counts ? peerTotalUsage - usageBefore : 0;
        level = Math.max(-capacity, level - newUsage);
        double elapsed = last == null ? RATE_TIME_CONSTANT_MILLIS : Math.max(1, nowMillis - last.reportedAtMillis);
        double decay = Math.exp(-elapsed / RATE_TIME_CONSTANT_MILLIS);
        double rate = (last == null ? 0 : last.ratePerMilli * decay) + (1 - decay) * Math.max(0, newUsage) / elapsed;
        peers.put(peer, new PeerUsage(incarnation, peerTotalUsage, rate, nowMillis));
    }

    /** Removes a peer whose reports are no longer received, and subtracts what it has probably used since the last. */
    public void removePeer(String peer, long nowMillis) {
        PeerUsage last = peers.remove(peer);
        if (last != null) {
            refill(nowMillis);
            level = Math.max(-capacity, level - last.unreported(nowMillis));
        }
    }

    /** Returns whether the workspace may use the given amount now, and records it as used if so. */
    public boolean tryAcquire(long usage, long nowMillis) {
        refill(nowMillis);
        double unreported = 0;
        for (PeerUsage peer : peers.values()) {
            unreported += peer.unreported(nowMillis);
        }
        // A request larger than the level is admitted while the level is positive; the debt delays the next request.
        if (level - unreported <= 0) {
            return false;
        }
        level -= usage;
        totalUsage += usage;
        return true;
    }

    /** Refunds usage recorded for a request that no upstream ran. */
    public void refund(long usage) {
        level = Math.min(capacity * fraction, level + usage);
        totalUsage -= usage;
    }

    /** Returns the usage admitted since the start, for reports to the peers. */
    public double totalUsage() {
        return totalUsage;
    }

    /** Returns the current level of the bucket, which is negative after overuse. */
    public double level(long nowMillis) {
        refill(nowMillis);
        return level;
    }

    /** Returns the level for reports to the peers. */
    public double reportedLevel(long nowMillis) {
        return isFresh(nowMillis) ? UNKNOWN_LEVEL : level(nowMillis);
    }

    private boolean isFresh(long nowMillis) {
        return !levelAdopted && nowMillis - startedAtMillis < FRESH_MILLIS;
    }

    /** Returns the time until usage is allowed again, in milliseconds, provided that nothing more is used. */
    public long millisUntilAvailable() {
        if (fraction == 0) {
            return NO_SHARE_RETRY_MILLIS;
        }
        return level > 0 ? 1 : 1 + (long) (-level * 1_000 / (ratePerSecond * fraction));
    }

    private void refill(long nowMillis) {
        long elapsedMillis = nowMillis - updatedAtMillis;
        if (elapsedMillis <= 0) {
            return;
        }
        updatedAtMillis = nowMillis;
        level = Math.min(capacity * fraction, level + ratePerSecond * fraction * elapsedMillis / 1_000);
    }

    private record PeerUsage(long incarnation, double totalUsage, double ratePerMilli, long reportedAtMillis) {
        /** Returns the estimated usage since the report. */
        double unreported(long nowMillis) {
            return ratePerMilli * Math.min(MAX_SILENCE_MILLIS, nowMillis - reportedAtMillis);
        }
    }
}
