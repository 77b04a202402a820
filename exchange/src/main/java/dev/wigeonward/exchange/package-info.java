/** Synchronization of revisions, monotonic facts, orders and evidence between entries and agents over their links. */
package dev.wigeonward.exchange;
