package dev.wigeonward.core.schedule;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PersistentSlotAccessTest {
    private static final int ENTRIES = 33;
    private static final long LENGTH_MILLIS = 60_000;

    private static List<PersistentSlotAccess> entries(int count) {
        List<PersistentSlotAccess> entries = new ArrayList<>();
        for (int entry = 0; entry < count; entry++) {
            PersistentSlotAccess access = PersistentSlotAccess.create(entry);
            access.setEntries(count);
            entries.add(access);
        }
        return entries;
    }

    private static long contenders(List<PersistentSlotAccess> entries, int freeSlots, long nowMillis) {
        return entries.stream()
                .filter(access -> access.mayTake("u1", freeSlots, nowMillis))
                .count();
    }

    /** Guards against a free slot that most of 33 waiting entries take, and against one that nobody takes for long. */
    @Test
    void fewEntriesContendForOneSlot() {
        List<PersistentSlotAccess> entries = entries(ENTRIES);
        long total = 0;
        long unusedSinceMillis = 0;
        for (long now = 0; now < LENGTH_MILLIS; now += 10) {
            long contenders = contenders(entries, 1, now);
            total += contenders;
            assertThat(contenders).isLessThan(ENTRIES / 2);
            unusedSinceMillis = contenders > 0 ? now : unusedSinceMillis;
            assertThat(now - unusedSinceMillis).isLessThan(600);
        }
        assertThat(total / (LENGTH_MILLIS / 10.0)).isBetween(2.0, 4.0);
    }

    /** Guards against an entry that waits although there are enough slots for all, or although it has no peers. */
    @Test
    void manySlotsAndSingleEntriesAreNotRestricted() {
        assertThat(contenders(entries(ENTRIES), ENTRIES, 5)).isEqualTo(ENTRIES);
        assertThat(contenders(entries(3), 1, 5)).isEqualTo(3);
        assertThat(PersistentSlotAccess.create(1).mayTake("u1", 1, 5)).isTrue();
    }

    /** Guards against entries that are preferred for good. */
    @Test
    void eachEntryGetsItsTurn() {
        for (PersistentSlotAccess access : entries(ENTRIES)) {
            long turns = 0;
            for (long now = 0; now < LENGTH_MILLIS; now += 100) {
                turns += access.mayTake("u1", 1, now) ? 1 : 0;
            }
            assertThat(turns).isBetween(20L, 120L);
        }
    }
}
