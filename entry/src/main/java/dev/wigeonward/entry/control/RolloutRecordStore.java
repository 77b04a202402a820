package dev.wigeonward.entry.control;

import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import dev.wigeonward.core.rollout.ControllerEvent;
import dev.wigeonward.core.rollout.RolloutRecord;
import dev.wigeonward.core.rollout.StoredRecord;

/** Stores the records of rollouts. Callbacks run on any thread. */
public interface RolloutRecordStore {
    /** Reads all records; the callback receives empty if the store did not answer. */
    void readAll(Consumer<Optional<List<StoredRecord>>> answer);

    /** Reads the record of a model; the callback is not called if the store did not answer. */
    void read(String model, Consumer<Optional<StoredRecord>> answer);

    /**
     * Writes a record if its key still has the expected revision. The callback receives the new revision of the key if
     * the write was applied, and 0 otherwise.
     */
    void write(RolloutRecord record, long expectedRevision, BiConsumer<ControllerEvent.WriteOutcome, Long> answer);
}
