package dev.wigeonward.entry.store;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import dev.wigeonward.common.http.Json;
import dev.wigeonward.common.store.Condition;
import dev.wigeonward.common.store.KeyValue;
import dev.wigeonward.common.store.KeyValueStore;
import dev.wigeonward.common.store.Transaction;
import dev.wigeonward.common.store.Write;
import dev.wigeonward.common.store.WriteResult;
import dev.wigeonward.core.rollout.ControllerEvent.WriteOutcome;
import dev.wigeonward.core.rollout.RolloutRecord;
import dev.wigeonward.core.rollout.StoredRecord;
import dev.wigeonward.entry.control.RolloutRecordStore;

/** A rollout record store that keeps the record of each model as JSON under its own key. */
public final class StoredRolloutRecords implements RolloutRecordStore {
    private static final String ROOT = "/wigeonward/moves/";

    private final KeyValueStore store;

    /** Creates a rollout record store over a key-value store. */
    public StoredRolloutRecords(KeyValueStore store) {
        this.store = store;
    }

    private static String key(String model) {
        return ROOT + model;
    }

    @Override
    public void readAll(Consumer<Optional<List<StoredRecord>>> answer) {
        JsonEntries.readAll(
                store,
                ROOT,
                entries -> answer.accept(entries.map(all ->
                        all.stream().flatMap(entry -> parse(entry).stream()).toList())));
    }

    @Override
    public void read(String model, Consumer<Optional<StoredRecord>> answer) {
        store.get(key(model)).thenAccept(result -> result.toOptional()
                .ifPresent(entry -> answer.accept(entry.flatMap(StoredRolloutRecords::parse))));
    }

    private static Optional<StoredRecord> parse(KeyValue entry) {
        return JsonEntries.parse(entry, RolloutRecord.class, record -> key(record.model()))
                .map(record -> new StoredRecord(record, entry.modRevision()));
    }

    @Override
    public void write(RolloutRecord record, long expectedRevision, BiConsumer<WriteOutcome, Long> answer) {
        String key = key(record.model());
        String value = new String(Json.write(record), StandardCharsets.UTF_8);
        Condition unchanged = new Condition.ModRevision(key, expectedRevision);
        store.commit(Transaction.of(unchanged, new Write.Put(key, value, 0)))
                .thenAccept(result -> answer.accept(
                        outcomeOf(result), result instanceof WriteResult.Applied applied ? applied.revision() : 0L));
    }

    private static WriteOutcome outcomeOf(WriteResult result) {
        if (result instanceof WriteResult.Applied) {
            return WriteOutcome.APPLIED;
        }
        if (result instanceof WriteResult.CompareFailed) {
            return WriteOutcome.COMPARE_FAILED;
        }
        return result instanceof WriteResult.OutcomeUnknown ? WriteOutcome.UNKNOWN : WriteOutcome.UNAVAILABLE;
    }
}
