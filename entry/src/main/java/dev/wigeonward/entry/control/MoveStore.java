package dev.wigeonward.entry.control;

import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import dev.wigeonward.core.rollout.ControllerEvent;
import dev.wigeonward.core.rollout.MoveRecord;
import dev.wigeonward.core.rollout.StoredRecord;

/** Move records in the store; answers come in any thread. */
public interface MoveStore {
    /** Reads all records; the answer is empty if the store did not answer. */
    void readAll(Consumer<Optional<List<StoredRecord>>> answer);

    /** Reads the record of a model; the listener is not called if the store did not answer. */
    void read(String model, Consumer<Optional<StoredRecord>> answer);

    /** Writes a record under a condition; the answer has the new revision if the write was applied. */
    void write(MoveRecord record, long expectedRevision, BiConsumer<ControllerEvent.StoreAnswer, Long> answer);
}
