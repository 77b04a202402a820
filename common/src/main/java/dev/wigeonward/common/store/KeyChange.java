package dev.wigeonward.common.store;

/**
 * Change of one key that a watch reports.
 *
 * @param deleted whether the key was removed; the entry then holds only the key and the revision of the removal
 */
public record KeyChange(boolean deleted, KeyValue keyValue) {}
