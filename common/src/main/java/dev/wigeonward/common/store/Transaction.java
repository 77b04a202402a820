package dev.wigeonward.common.store;

import java.util.List;

import com.google.common.base.Preconditions;

/**
 * Transaction of the key-value service: if all conditions hold, all writes take effect together, otherwise none does.
 */
public record Transaction(List<Condition> conditions, List<Write> writes) {
    public Transaction {
        conditions = List.copyOf(conditions);
        writes = List.copyOf(writes);
        Preconditions.checkArgument(!writes.isEmpty(), "transaction has no write, expected at least one");
        Preconditions.checkArgument(
                writes.stream().map(Write::key).distinct().count() == writes.size(),
                "transaction writes a key twice, expected distinct keys");
    }

    /** Returns a transaction with one condition and one write. */
    public static Transaction of(Condition condition, Write write) {
        return new Transaction(List.of(condition), List.of(write));
    }
}
