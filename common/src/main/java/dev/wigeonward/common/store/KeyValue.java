package dev.wigeonward.common.store;

/**
 * One key with its value.
 *
 * @param createRevision revision of the write that created the key
 * @param modRevision revision of the last write to the key
 * @param leaseId 0 for a key without a lease
 */
public record KeyValue(String key, String value, long createRevision, long modRevision, long leaseId) {}
