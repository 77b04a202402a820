package dev.wigeonward.core.cap;

import com.google.common.base.Preconditions;

/**
 * This entry's part of one tenant's usage cap. The part follows the demand of this entry relative to the demand that
 * peers report; with no peer heard it falls back to an equal part, reduced by a margin. Not thread-safe.
 */
public final class TenantCap {
    /** Time constant of the demand estimate, in milliseconds; a burst is followed within about a second. */
    private static final double DEMAND_MEMORY_MILLIS = 1_500;
    /** Smallest part kept by an entry relative to an equal part, so that a first request is not refused. */
    private static final double LEAST_PART = 0.1;
    /** Part of an equal share that an entry uses while it hears no peer. */
    private static final double ALONE_PART = 0.8;

    private final long windowMillis;
    private double ratePerSecond;
    private double burst;
    private double part = 1.0;
    private double demandPerSecond;
    private double available;
    private long updatedAtMillis;

    private TenantCap(long ratePerSecond, long burst, long windowMillis, int entries, long nowMillis) {
        this.windowMillis = windowMillis;
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.part = ALONE_PART / entries;
        this.updatedAtMillis = nowMillis;
        // A restarted entry may have spent its burst shortly before, so it starts with none of it.
        this.available = ratePerSecond * part;
    }

    /** Returns a cap with the part of an entry that hears no peer. */
    public static TenantCap create(long ratePerSecond, long burst, long windowMillis, int entries, long nowMillis) {
        Preconditions.checkArgument(ratePerSecond > 0, "ratePerSecond is %s", ratePerSecond);
        Preconditions.checkArgument(entries > 0, "entries is %s", entries);
        return new TenantCap(ratePerSecond, burst, windowMillis, entries, nowMillis);
    }

    /** Puts other figures in force; what was spent before still counts. */
    public void change(long newRatePerSecond, long newBurst, long nowMillis) {
        advance(nowMillis);
        double spent = Math.max(0, capacity() - available);
        ratePerSecond = newRatePerSecond;
        burst = newBurst;
        available = Math.max(-capacity(), Math.min(available, capacity() - spent));
    }

    /** Takes over what peers report; {@code entries} counts this entry and those that are known but not heard. */
    public void onPeers(double peersDemandPerSecond, int peersHeard, int entries, long nowMillis) {
        advance(nowMillis);
        double equal = 1.0 / entries;
        if (peersHeard == 0 && entries > 1) {
            part = equal * ALONE_PART;
            return;
        }
        double unheard = (entries - 1 - peersHeard) * equal * ALONE_PART;
        double total = demandPerSecond + peersDemandPerSecond;
        double wanted = total <= 0 ? equal : demandPerSecond / total;
        double least = equal * LEAST_PART;
        // The floors of all entries are taken from the part that is shared by demand, so the parts add up to one.
        part = Math.max(least, (1 - unheard) * (least + (1 - LEAST_PART) * wanted));
    }

    /** Returns whether the tenant may use this much now, and counts it as used if so. Counts the demand either way. */
    public boolean tryUse(long usage, long nowMillis) {
        advance(nowMillis);
        demandPerSecond += usage * 1_000.0 / DEMAND_MEMORY_MILLIS;
        // A request larger than what is left passes while anything is left; the debt is paid before the next one.
        if (available <= 0) {
            return false;
        }
        available -= usage;
        return true;
    }

    /** Gives back what a request did not use because no upstream ran it. */
    public void giveBack(long usage) {
        available = Math.min(capacity(), available + usage);
    }

    /** Returns the recent demand for the peers. */
    public double demandPerSecond(long nowMillis) {
        advance(nowMillis);
        return demandPerSecond;
    }

    /** Returns the time until usage is allowed again, in milliseconds. */
    public long millisUntilAvailable() {
        double rate = Math.max(1e-9, ratePerSecond * part);
        return available > 0 ? 0 : (long) Math.min(windowMillis, 1 + -available * 1_000 / rate);
    }

    private double capacity() {
        return Math.max(1, burst * part);
    }

    private void advance(long nowMillis) {
        long elapsedMillis = nowMillis - updatedAtMillis;
        if (elapsedMillis <= 0) {
            return;
        }
        updatedAtMillis = nowMillis;
        demandPerSecond *= Math.exp(-elapsedMillis / DEMAND_MEMORY_MILLIS);
        available = Math.min(capacity(), available + ratePerSecond * part * elapsedMillis / 1_000);
    }
}
