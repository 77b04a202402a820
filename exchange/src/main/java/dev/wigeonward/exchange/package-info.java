/** Revisions and monotonic facts that entries and agents pass on over their links. */
package dev.wigeonward.exchange;
