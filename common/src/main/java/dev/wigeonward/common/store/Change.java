package dev.wigeonward.common.store;

/**
 * A change that a watch reports.
 *
 * @param deleted true if the key was removed; the entry then has the key and the revision of the removal only
 */
public record Change(boolean deleted, KeyValue entry) {}
