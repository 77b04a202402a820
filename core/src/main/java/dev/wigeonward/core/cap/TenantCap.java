package dev.wigeonward.core.cap;

import java.util.HashMap;
import java.util.Map;

import com.google.common.base.Preconditions;

/**
 * One tenant's usage cap as seen by one entry: a token bucket for all entries together. Entries tell each other their
 * cumulative usage, which each subtracts from its own bucket. What peers use between two reports is estimated from
 * their recent rate. An entry that hears no peer uses only a part of an equal share. Not thread-safe.
 */
public final class TenantCap {
    /** Time constant of the estimate of a peer's rate, in milliseconds. */
    private static final double RATE_MEMORY_MILLIS = 1_000;
    /** Part of an equal share that an entry uses while it hears no peer; the others leave as much to it. */
    private static final double ALONE_PART = 0.5;
    /** Smallest part of the cap that is left for the entries that hear each other. */
    private static final double LEAST_HEARD_PART = 0.2;

    private double ratePerSecond;
    private double capacity;
    private double part;
    private double level;
    private double usedTotal;
    private boolean levelKnown;
    private long updatedAtMillis;
    private final Map<String, PeerUsage> peers = new HashMap<>();

    private TenantCap(long ratePerSecond, long capacity, int entries, long nowMillis) {
        this.ratePerSecond = ratePerSecond;
        this.capacity = capacity;
        this.part = entries > 1 ? ALONE_PART / entries : 1;
        this.updatedAtMillis = nowMillis;
        // A restarted entry may have spent its share shortly before, so it starts with that of one second.
        this.level = Math.min(capacity, ratePerSecond) * part;
    }

    /**
     * Returns the cap of an entry that has heard no peer yet.
     *
     * @param capacity usage allowed at once
     */
    public static TenantCap create(long ratePerSecond, long capacity, int entries, long nowMillis) {
        Preconditions.checkArgument(ratePerSecond > 0, "ratePerSecond is %s", ratePerSecond);
        Preconditions.checkArgument(capacity > 0, "capacity is %s", capacity);
        Preconditions.checkArgument(entries > 0, "entries is %s", entries);
        return new TenantCap(ratePerSecond, capacity, entries, nowMillis);
    }

    /** Puts other figures in force; what was spent before still counts. */
    public void change(long newRatePerSecond, long newCapacity, long nowMillis) {
        advance(nowMillis);
        ratePerSecond = newRatePerSecond;
        capacity = newCapacity;
        level = Math.max(-capacity, Math.min(level, capacity * part));
    }

    /** States how many entries are heard, and how many are known, both counting this one. */
    public void entries(int heard, int known, long nowMillis) {
        Preconditions.checkArgument(heard > 0 && known >= heard, "heard is %s of %s", heard, known);
        advance(nowMillis);
        double newPart = heard == 1 && known > 1
                ? ALONE_PART / known
                : Math.max(LEAST_HEARD_PART, 1 - (known - heard) * ALONE_PART / known);
        if (newPart != part) {
            level = level > 0 ? level * newPart / part : level;
            part = newPart;
        }
    }

    /**
     * Takes over a peer's report.
     *
     * @param incarnation differs after each start of the peer, whose cumulative usage then starts anew
     * @param peerUsedTotal usage that the peer has let pass since its start
     * @param peerLevel what the peer believes to be left
     */
    public void onPeer(String peer, long incarnation, double peerUsedTotal, double peerLevel, long nowMillis) {
        advance(nowMillis);
        if (!levelKnown) {
            // The peers' view includes what was used before this entry started.
            levelKnown = true;
            level = Math.min(peerLevel, capacity * part);
            peers.put(peer, new PeerUsage(incarnation, peerUsedTotal, 0, nowMillis));
            return;
        }
        PeerUsage last = peers.get(peer);
        double used =
                last == null ? 0 : last.incarnation == incarnation ? peerUsedTotal - last.usedTotal : peerUsedTotal;
        level = Math.max(-capacity, level - used);
        double elapsed = last == null ? RATE_MEMORY_MILLIS : Math.max(1, nowMillis - last.reportedAtMillis);
        double kept = Math.exp(-elapsed / RATE_MEMORY_MILLIS);
        double rate = (last == null ? 0 : last.ratePerMilli * kept) + (1 - kept) * Math.max(0, used) / elapsed;
        peers.put(peer, new PeerUsage(incarnation, peerUsedTotal, rate, nowMillis));
    }

    /** Forgets a peer that is not heard any more. */
    public void forget(String peer) {
        peers.remove(peer);
    }

    /** Returns whether the tenant may use this much now, and counts it as used if so. */
    public boolean tryUse(long usage, long nowMillis) {
        advance(nowMillis);
        double unreported = 0;
        for (PeerUsage peer : peers.values()) {
            unreported += peer.ratePerMilli * Math.min(RATE_MEMORY_MILLIS, nowMillis - peer.reportedAtMillis);
        }
        // A request larger than what is left passes while anything is left; the debt is paid before the next one.
        if (level - unreported <= 0) {
            return false;
        }
        level -= usage;
        usedTotal += usage;
        return true;
    }

    /** Gives back what a request did not use because no upstream ran it. */
    public void giveBack(long usage) {
        level = Math.min(capacity * part, level + usage);
        usedTotal -= usage;
    }

    /** Returns the usage that passed since the start, for the peers. */
    public double usedTotal() {
        return usedTotal;
    }

    /** Returns what is left. */
    public double level(long nowMillis) {
        advance(nowMillis);
        return level;
    }

    /** Returns the time until usage is allowed again if nothing more is used, in milliseconds. */
    public long millisUntilAvailable() {
        return level > 0 ? 1 : 1 + (long) (-level * 1_000 / (ratePerSecond * part));
    }

    private void advance(long nowMillis) {
        long elapsedMillis = nowMillis - updatedAtMillis;
        if (elapsedMillis <= 0) {
            return;
        }
        updatedAtMillis = nowMillis;
        level = Math.min(capacity * part, level + ratePerSecond * part * elapsedMillis / 1_000);
    }

    private record PeerUsage(long incarnation, double usedTotal, double ratePerMilli, long reportedAtMillis) {}
}
