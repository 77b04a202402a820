package dev.wigeonward.common.store;

import java.util.List;

import com.google.common.base.Preconditions;

/** Writes that take effect together if all conditions hold, and not at all otherwise. */
public record Transaction(List<Compare> compares, List<Write> writes) {
    public Transaction {
        compares = List.copyOf(compares);
        writes = List.copyOf(writes);
        Preconditions.checkArgument(!writes.isEmpty(), "transaction without a write");
        Preconditions.checkArgument(
                writes.stream().map(Write::key).distinct().count() == writes.size(), "a key is written twice");
    }

    /** Returns a transaction of one condition and one write. */
    public static Transaction of(Compare compare, Write write) {
        return new Transaction(List.of(compare), List.of(write));
    }
}
