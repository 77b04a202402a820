package dev.wigeonward.common.store;

import java.util.List;

/**
 * Part of the keys under a prefix, in order.
 *
 * @param more whether further keys follow the last one
 */
public record Page(List<KeyValue> entries, boolean more) {
    public Page {
        entries = List.copyOf(entries);
    }
}
