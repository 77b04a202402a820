package dev.wigeonward.common.store;

import java.util.Objects;

/** Write operation of a transaction. */
public sealed interface Write {
    /** Returns the key that is written. */
    String key();

    /** Sets the value of a key; a lease id of 0 attaches no lease. */
    record Put(String key, String value, long leaseId) implements Write {
        public Put {
            Objects.requireNonNull(value, "value");
        }
    }

    /** Removes a key. */
    record Delete(String key) implements Write {}
}
