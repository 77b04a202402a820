/** Adapters of the entry to the key-value service: claims, rollout records, spend totals and the watch on revisions. */
package dev.wigeonward.entry.store;
