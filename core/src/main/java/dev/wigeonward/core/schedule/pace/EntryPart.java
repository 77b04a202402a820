package dev.wigeonward.core.schedule.pace;

import java.util.Collection;

import com.google.common.base.Preconditions;
import dev.wigeonward.core.placement.Rendezvous;

/**
 * Part of one entry in the use of a paced upstream, from its position in the rendezvous order of the entries that it
 * knows. The parts of entries that know the same set add up to the whole without any message.
 *
 * @param position number of known entries before this one
 * @param entries number of known entries, including this one
 */
record EntryPart(int position, int entries) {
    /**
     * Known entries for each entry that may be missing: up to a fifth of all entries is unknown to one of them, which
     * is a quarter of those that it knows.
     */
    private static final int KNOWN_PER_MISSING = 4;

    EntryPart {
        Preconditions.checkArgument(
                position >= 0 && position < entries, "position is %s, expected 0 to %s", position, entries - 1);
    }

    /**
     * Returns the part of an entry.
     *
     * @param lifetimeId identifier of the upstream's lifetime, which determines the order
     * @param own name of this entry
     * @param others names of the other known entries
     */
    static EntryPart of(String lifetimeId, String own, Collection<String> others) {
        long key = Rendezvous.hash(lifetimeId);
        long ownWeight = Rendezvous.weight(key, Rendezvous.hash(own));
        int before = 0;
        int entries = 1;
        for (String other : others) {
            if (other.equals(own)) {
                continue;
            }
            entries++;
            long weight = Rendezvous.weight(key, Rendezvous.hash(other));
            boolean isBefore = weight > ownWeight || (weight == ownWeight && other.compareTo(own) < 0);
            before += isBefore ? 1 : 0;
        }
        return new EntryPart(before, entries);
    }

    /** Returns the part of this entry in a limit over all entries. */
    int of(int limit) {
        return limit / entries + (position < limit % entries ? 1 : 0);
    }

    /**
     * Returns the number of requests that this entry may send to a cold upstream in any one second.
     *
     * <p>The planned requests are dealt to the entries in their order, round by round. An entry takes a request only if
     * the total is kept even where a fifth of all entries is unknown to it: each unknown entry moves it back by one
     * position in each round.
     */
    int ofCold(ColdBounds bounds) {
        int missing = entries / KNOWN_PER_MISSING;
        int taken = 0;
        for (int request = position; request < bounds.planned(); request += entries) {
            taken += request + missing * (request / entries + 1) < bounds.total() ? 1 : 0;
        }
        return taken;
    }
}
