/** Calls to the key-value service: for each claim, over loopback, and for each role at target size. */
package dev.wigeonward.measure.store;
