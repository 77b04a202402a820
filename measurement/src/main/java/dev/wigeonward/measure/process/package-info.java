/** Measurements through the real processes on loopback. */
package dev.wigeonward.measure.process;
