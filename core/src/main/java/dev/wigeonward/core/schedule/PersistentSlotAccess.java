package dev.wigeonward.core.schedule;

/**
 * Policy for many entries that all have waiting requests and learn of a free slot at about the same time: each takes it
 * with a probability that falls with the number of entries, as in p-persistent slotted ALOHA. If all entries took each
 * slot that looks free, most of them would send a request to an upstream that is full by then. The draws of an entry
 * change after each window, which is as long as peers take to report the slot as occupied. Not thread-safe.
 */
public final class PersistentSlotAccess implements SlotAccess {
    /**
     * Expected number of entries that contend for one free slot if all have waiting requests. With fewer, slots would
     * stay free for several windows.
     */
    private static final double CONTENDERS_PER_SLOT = 3;
    /** Windows are this long for few entries, and grow with the number of entries as the interval of reports does. */
    private static final long SHORTEST_WINDOW_MILLIS = 20;

    private static final int ENTRIES_AT_SHORTEST_WINDOW = 8;

    private final long entryKey;
    private int entries = 1;

    private PersistentSlotAccess(long entryKey) {
        // Mixed, so that the draws of entries with consecutive keys are independent.
        this.entryKey = PseudoRandom.mix(entryKey);
    }

    /** Returns a policy for an entry with the given key, which differs from those of its peers. */
    public static PersistentSlotAccess create(long entryKey) {
        return new PersistentSlotAccess(entryKey);
    }

    /** Sets the number of entries that use the same upstreams, including this one. */
    public void setEntries(int newEntries) {
        entries = newEntries;
    }

    @Override
    public boolean mayTake(String upstreamId, int freeSlots, long nowMillis) {
        double probability = CONTENDERS_PER_SLOT * freeSlots / entries;
        if (probability >= 1) {
            return true;
        }
        long windowMillis = SHORTEST_WINDOW_MILLIS * (1 + entries / ENTRIES_AT_SHORTEST_WINDOW);
        long window = nowMillis / windowMillis;
        return PseudoRandom.fraction(entryKey + window, upstreamId.hashCode()) < probability;
    }
}
