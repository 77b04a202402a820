package dev.wigeonward.standins.kv;

import java.util.Objects;

/**
 * Key with its value and revisions, as stored or as reported by an event.
 *
 * @param key bytes of the key as Latin-1 text, so that text order is byte order
 * @param value as sent by the client, in base64
 */
record KvEntry(
        String key, String value, long createRevision, long modRevision, long version, long leaseId, boolean deleted) {
    KvEntry {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }

    static KvEntry deletion(String key, long revision) {
        return new KvEntry(key, "", 0, revision, 0, 0, true);
    }
}
