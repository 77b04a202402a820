package dev.wigeonward.common.store;

import java.util.Objects;
import java.util.Optional;

/** A condition of a transaction; conditions hold for all keys at one revision. */
public sealed interface Compare {
    /** Returns the key that is compared. */
    String key();

    /** Returns whether the condition holds for the current state of its key, empty for an absent key. */
    boolean holds(Optional<KeyValue> current);

    /** Returns the condition that the key does not exist. */
    static Compare absent(String key) {
        return new CreateRevision(key, 0);
    }

    /** The last write to the key has this revision; 0 for an absent key. */
    record ModRevision(String key, long revision) implements Compare {
        @Override
        public boolean holds(Optional<KeyValue> current) {
            return current.map(KeyValue::modRevision).orElse(0L) == revision;
        }
    }

    /** The key was created by the write of this revision; 0 for an absent key. */
    record CreateRevision(String key, long revision) implements Compare {
        @Override
        public boolean holds(Optional<KeyValue> current) {
            return current.map(KeyValue::createRevision).orElse(0L) == revision;
        }
    }

    /** The key exists with this value. */
    record Value(String key, String value) implements Compare {
        public Value {
            Objects.requireNonNull(value, "value");
        }

        @Override
        public boolean holds(Optional<KeyValue> current) {
            return current.map(KeyValue::value).filter(value::equals).isPresent();
        }
    }
}
