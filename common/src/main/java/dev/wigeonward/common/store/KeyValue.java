package dev.wigeonward.common.store;

/**
 * Entry of the key-value service: a key with its value.
 *
 * @param createRevision revision of the write that created the key
 * @param modRevision revision of the last write to the key
 * @param leaseId lease that the key is attached to, or 0 for none
 */
public record KeyValue(String key, String value, long createRevision, long modRevision, long leaseId) {}
