package dev.wigeonward.common.store;

import java.util.Objects;
import java.util.Optional;

/** Condition of a transaction; the service checks all conditions of a transaction at the same revision. */
public sealed interface Condition {
    /** Returns the key that is compared. */
    String key();

    /**
     * Returns whether the condition holds for the current entry of its key; the entry is empty if the key is absent.
     */
    boolean isMetBy(Optional<KeyValue> current);

    /** Returns the condition that the key does not exist. */
    static Condition absent(String key) {
        return new CreateRevision(key, 0);
    }

    /** Condition that the last write to the key has this revision; 0 means that the key is absent. */
    record ModRevision(String key, long revision) implements Condition {
        @Override
        public boolean isMetBy(Optional<KeyValue> current) {
            return current.map(KeyValue::modRevision).orElse(0L) == revision;
        }
    }

    /** Condition that the write with this revision created the key; 0 means that the key is absent. */
    record CreateRevision(String key, long revision) implements Condition {
        @Override
        public boolean isMetBy(Optional<KeyValue> current) {
            return current.map(KeyValue::createRevision).orElse(0L) == revision;
        }
    }

    /** Condition that the key exists and has this value. */
    record Value(String key, String value) implements Condition {
        public Value {
            Objects.requireNonNull(value, "value");
        }

        @Override
        public boolean isMetBy(Optional<KeyValue> current) {
            return current.map(KeyValue::value).filter(value::equals).isPresent();
        }
    }
}
