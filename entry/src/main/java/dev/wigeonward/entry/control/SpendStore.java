package dev.wigeonward.entry.control;

import java.util.List;
import java.util.function.Consumer;

import dev.wigeonward.core.spend.SpendSnapshot;

/** Spend totals in the store; answers come in any thread, and only if the store answers. */
public interface SpendStore {
    /** Writes the totals of this entry over its earlier ones. */
    void write(SpendSnapshot snapshot);

    /** Reads the totals of all entries in a period. */
    void readAll(String period, Consumer<List<SpendSnapshot>> answer);
}
