package dev.wigeonward.common.store;

import java.util.List;

/**
 * Part of a range of keys, as the service answered.
 *
 * @param entries entries whose keys are valid UTF-8
 * @param hasMore whether further entries follow the last one, whose key may not be valid UTF-8
 * @param endsWithTextKey whether the key of the last entry is valid UTF-8
 * @param encodedNextKey smallest key after the last entry, in base64
 */
record EtcdRange(List<KeyValue> entries, boolean hasMore, boolean endsWithTextKey, String encodedNextKey) {
    EtcdRange {
        entries = List.copyOf(entries);
    }
}
