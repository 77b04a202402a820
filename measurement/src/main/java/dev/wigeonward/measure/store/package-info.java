/** Measures calls to the key-value service per claim over loopback, and computes those of each role at target size. */
package dev.wigeonward.measure.store;
