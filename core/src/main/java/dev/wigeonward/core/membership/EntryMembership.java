package dev.wigeonward.core.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The other entries that may be running. An entry that is not heard is either gone or cut off. Only a registry tells
 * which, in which each entry renews its registration as long as it runs, so an entry counts until it is missing there.
 * Not thread-safe.
 */
public final class EntryMembership {
    /**
     * Successive readings of the registry in which an entry must be missing. A registry that was unavailable may have
     * dropped registrations, which running entries renew within that time.
     */
    private static final int MIN_MISSING_READINGS = 3;
    /** Shortest interval between two readings; running entries renew their registrations at least as often. */
    private static final long READING_PERIOD_MILLIS = 2_000;

    private final String ownAddress;
    /** Time for which a registration lasts without renewal; an entry is not missing earlier. */
    private final long registrationMillis;

    private final Map<String, Entry> others = new HashMap<>();
    private boolean complete;
    private long readingStartedMillis = Long.MIN_VALUE / 2;

    private EntryMembership(String ownAddress, long registrationMillis) {
        this.ownAddress = ownAddress;
        this.registrationMillis = registrationMillis;
    }

    /**
     * Returns the membership of an entry that knows no others yet.
     *
     * @param registrationMillis time for which a registration lasts without renewal
     */
    public static EntryMembership of(String ownAddress, long registrationMillis) {
        return new EntryMembership(ownAddress, registrationMillis);
    }

    /** Records that an entry was heard. */
    public void onHeard(String address, long nowMillis) {
        Entry entry = others.computeIfAbsent(address, any -> new Entry(nowMillis));
        entry.heardAtMillis = nowMillis;
        entry.heard = true;
        entry.missingReadings = 0;
    }

    /** Adds entries that a peer knows, unless the registry has been read, which knows better. */
    public void onTold(Iterable<String> addresses, long nowMillis) {
        if (!complete) {
            addresses.forEach(address -> addUnheard(address, nowMillis));
        }
    }

    private void addUnheard(String address, long nowMillis) {
        if (!address.equals(ownAddress)) {
            others.computeIfAbsent(address, any -> new Entry(nowMillis));
        }
    }

    /** Records the entries that are registered. */
    public void onRegistryRead(Set<String> registered, long nowMillis) {
        complete = true;
        registered.forEach(address -> addUnheard(address, nowMillis));
        others.forEach((address, entry) -> {
            boolean missing = !registered.contains(address) && nowMillis - entry.heardAtMillis >= registrationMillis;
            entry.missingReadings = missing ? entry.missingReadings + 1 : 0;
        });
        others.values().removeIf(entry -> entry.missingReadings >= MIN_MISSING_READINGS);
    }

    /** Records that the registry did not answer, after which entries may be missing there although they run. */
    public void onRegistryFailed() {
        others.values().forEach(entry -> entry.missingReadings = 0);
    }

    /**
     * Returns whether the registry should be read now, because it has not been or an entry is not heard, and starts the
     * interval until the next reading if so.
     */
    public boolean startReadingIfDue(long nowMillis) {
        boolean isDue = nowMillis - readingStartedMillis >= READING_PERIOD_MILLIS;
        boolean isNeeded = !complete
                || others.values().stream().anyMatch(entry -> nowMillis - entry.heardAtMillis >= registrationMillis);
        if (!isDue || !isNeeded) {
            return false;
        }
        readingStartedMillis = nowMillis;
        return true;
    }

    /** Returns the number of entries that may be running, including this one. */
    public int known() {
        return 1 + others.size();
    }

    /** Returns the number of entries that were heard within the given time, including this one. */
    public int heardWithin(long millis, long nowMillis) {
        return 1
                + (int) others.values().stream()
                        .filter(entry -> entry.heard && nowMillis - entry.heardAtMillis <= millis)
                        .count();
    }

    private static final class Entry {
        private boolean heard;
        /** Time at which the entry was last heard, or became known. */
        private long heardAtMillis;

        private int missingReadings;

        Entry(long knownSinceMillis) {
            this.heardAtMillis = knownSinceMillis;
        }
    }
}
