package dev.wigeonward.common.store;

import java.util.List;

/**
 * Page of the entries under a prefix, in the order of keys.
 *
 * @param hasMore whether further entries follow the last one
 */
public record Page(List<KeyValue> entries, boolean hasMore) {
    public Page {
        entries = List.copyOf(entries);
    }
}
