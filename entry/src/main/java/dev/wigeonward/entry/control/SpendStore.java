package dev.wigeonward.entry.control;

import java.util.List;
import java.util.function.Consumer;

import dev.wigeonward.core.spend.SpendSnapshot;

/** Stores the spend totals of entries. Callbacks run on any thread, and only if the store answers. */
public interface SpendStore {
    /** Replaces the stored totals of this entry for the period of the snapshot. */
    void write(SpendSnapshot snapshot);

    /** Reads the totals of all entries in a period. */
    void readAll(String period, Consumer<List<SpendSnapshot>> answer);
}
